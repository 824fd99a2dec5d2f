package conf

import (
	"fmt"
	"strings"
)

// Fault is one validation error in a document or a change.
type Fault struct {
	place string
	text  string
}

// Place returns the path of the faulty field, for example "accounts[2].burst", or for
// malformed JSON the position in the text, for example "line 2, column 29". It is empty
// if the fault concerns the whole text.
func (f Fault) Place() string { return f.place }

// Text returns the description of the fault, without its place.
func (f Fault) Text() string { return f.text }

// String returns the place and the text in the form "place: text".
func (f Fault) String() string {
	if f.place == "" {
		return f.text
	}
	return f.place + ": " + f.text
}

// FaultsError is the list of faults in a document or a change.
type FaultsError struct {
	faults  []Fault
	omitted int
}

// Faults returns the faults in the order in which they were found, at most 100.
func (e *FaultsError) Faults() []Fault { return e.faults }

// Omitted returns the number of faults that were found beyond those in Faults.
func (e *FaultsError) Omitted() int { return e.omitted }

// Error implements error.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.faults))
	for _, fault := range e.faults {
		lines = append(lines, fault.String())
	}
	if e.omitted > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", e.omitted))
	}
	return "configuration: " + strings.Join(lines, "; ")
}

// add appends one fault, or only counts it if the list is full.
func (e *FaultsError) add(place, format string, args ...any) {
	if len(e.faults) == maxFaults {
		e.omitted++
		return
	}
	e.faults = append(e.faults, Fault{place: place, text: fmt.Sprintf(format, args...)})
}

// orNil returns e if it contains a fault, and nil otherwise.
func (e *FaultsError) orNil() error {
	if len(e.faults) == 0 {
		return nil
	}
	return e
}
