// Package event defines the numbered log events of an instance and writes their log lines.
// docs/EVENTS.md lists the events for operators, and a test fails if the list differs from
// the code.
package event

import (
	"context"
	"log/slog"
)

// ID is the number of a kind of event. A number is never reused for another kind. The
// hundreds say which part of the program the event belongs to.
type ID int

// Kind describes a kind of event.
type Kind struct {
	// Level is the level at which the event is logged.
	Level slog.Level
	// Text is the message of the log line. Values that vary are attributes.
	Text string
	// Action says what an operator should do, or is empty if nothing needs to be done.
	Action string
}

// Log writes a log line for the event, with its number as the attribute "event" before the
// given ones. Attributes must not contain keys or data of statements.
func Log(ctx context.Context, logger *slog.Logger, id ID, attrs ...slog.Attr) {
	kind := Catalogue()[id]
	logger.LogAttrs(ctx, kind.Level, kind.Text, append([]slog.Attr{slog.Int("event", int(id))}, attrs...)...)
}
