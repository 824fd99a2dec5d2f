// Package seed gives the randomised tests a fixed seed and number of runs, so that each run
// of the tests is the same. The flags -rapid.seed and -rapid.checks override them.
package seed

import (
	"flag"
	"strconv"
)

const (
	// defaultSeed is the seed if the command line gives none.
	defaultSeed = "20261"
	// flagSeed and flagChecks are flags of pgregory.net/rapid, which generates the runs.
	flagSeed   = "rapid.seed"
	flagChecks = "rapid.checks"
)

// Fix sets the seed of the randomised tests in this process. Call it before the tests run.
// It fails if the process doesn't have the flag, because nothing in it imports rapid.
func Fix() error { return setUnlessGiven(flagSeed, defaultSeed) }

// FixRuns sets the seed, as Fix does, and the number of runs of each randomised test.
func FixRuns(runs int) error {
	if err := Fix(); err != nil {
		return err
	}
	return setUnlessGiven(flagChecks, strconv.Itoa(runs))
}

// setUnlessGiven sets a flag, unless the command line has set it to another value than its
// default.
func setUnlessGiven(name, value string) error {
	if current := flag.Lookup(name); current != nil && current.Value.String() != current.DefValue {
		return nil
	}
	return flag.Set(name, value)
}
