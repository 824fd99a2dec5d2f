// Package seed gives randomised tests a fixed seed, unless the command line names
// one by -rapid.seed.
package seed

import "flag"

// fixed is the seed of every run that names none.
const fixed = "20261"

// Fix sets the seed of the randomised tests of this process. It returns an error
// when the process has no such flag.
func Fix() error {
	if current := flag.Lookup("rapid.seed"); current != nil && current.Value.String() != "0" {
		return nil
	}
	return flag.Set("rapid.seed", fixed)
}
