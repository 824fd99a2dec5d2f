// Package seed gives randomised tests a fixed seed and a number of runs, unless the
// command line names others by -rapid.seed and -rapid.checks.
package seed

import (
	"flag"
	"strconv"
)

const (
	// fixed is the seed of every run that names none.
	fixed = "20261"
	// flagSeed and flagChecks are the flags of the library that draws the runs.
	flagSeed   = "rapid.seed"
	flagChecks = "rapid.checks"
)

// Fix sets the seed of the randomised tests of this process. It returns an error
// when the process has no such flag.
func Fix() error { return fill(flagSeed, fixed) }

// FixRuns sets the seed and how many runs each test draws.
func FixRuns(runs int) error {
	if err := Fix(); err != nil {
		return err
	}
	return fill(flagChecks, strconv.Itoa(runs))
}

// fill sets a flag that the command line has left alone.
func fill(name, value string) error {
	if current := flag.Lookup(name); current != nil && current.Value.String() != current.DefValue {
		return nil
	}
	return flag.Set(name, value)
}
