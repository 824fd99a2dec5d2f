package main

import "fmt"

// versionCommand prints the version.
type versionCommand struct{}

// Run prints the version on standard output.
func (versionCommand) Run() error {
	_, err := fmt.Println("pomelofork", version)
	return err
}
