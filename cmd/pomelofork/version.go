package main

import (
	"fmt"

	"pomelofork/core/level"
	"pomelofork/io/build"
	"pomelofork/io/relay"
)

// versionCommand prints the version.
type versionCommand struct{}

// Run prints the name of the program, its version and build, and what other instances may expect of it.
func (versionCommand) Run() error {
	_, err := fmt.Printf("pomelofork %s, build %q, form of messages %d, level %d\n", version, build.Name(), relay.NewestForm, level.Newest)
	return err
}
