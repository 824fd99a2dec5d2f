package main

import (
	"fmt"

	"pomelofork/io/event"
)

// eventsCommand prints the catalogue of the events that instances log.
type eventsCommand struct{}

// Run prints the content of docs/EVENTS.md.
func (eventsCommand) Run() error {
	_, err := fmt.Print(event.Page())
	return err
}
