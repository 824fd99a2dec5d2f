package conf

import (
	"fmt"
	"strings"
)

// Fault is one thing that is wrong with a document.
type Fault struct {
	place string
	text  string
}

// Place names the faulty part, for example "accounts[2].burst".
func (f Fault) Place() string { return f.place }

// Text says what is wrong.
func (f Fault) Text() string { return f.text }

// String returns place and text.
func (f Fault) String() string {
	if f.place == "" {
		return f.text
	}
	return f.place + ": " + f.text
}

// FaultsError lists everything that is wrong with a document.
type FaultsError struct {
	faults  []Fault
	omitted int
}

// Faults returns the faults in the order of the document.
func (e *FaultsError) Faults() []Fault { return e.faults }

// Omitted returns how many faults beyond those of Faults were found.
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

// add records one fault.
func (e *FaultsError) add(place, format string, args ...any) {
	if len(e.faults) == maxFaults {
		e.omitted++
		return
	}
	e.faults = append(e.faults, Fault{place: place, text: fmt.Sprintf(format, args...)})
}

// orNil returns the error if there is any fault.
func (e *FaultsError) orNil() error {
	if len(e.faults) == 0 {
		return nil
	}
	return e
}
