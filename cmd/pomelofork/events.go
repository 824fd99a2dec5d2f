package main

import (
	"fmt"

	"pomelofork/io/event"
)

// eventsCommand prints the catalogue of events.
type eventsCommand struct{}

// Run prints docs/EVENTS.md on standard output.
func (eventsCommand) Run() error {
	_, err := fmt.Print(event.Page())
	return err
}
