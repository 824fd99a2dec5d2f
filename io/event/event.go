// Package event holds the numbered log events. Every log line of a server carries
// one; docs/EVENTS.md is the catalogue, and a test keeps both equal.
package event

import (
	"context"
	"log/slog"
)

// ID numbers one kind of event. A number is never given to another kind.
type ID int

// Kind is the catalogue's entry for one event.
type Kind struct {
	// Level is the level at which the event is logged.
	Level slog.Level
	// Text is the message. It holds no variable part.
	Text string
	// Action says what an operator does about it, or is empty.
	Action string
}

// Log writes the event with its number. Attributes hold no key and no statement data.
func Log(ctx context.Context, logger *slog.Logger, id ID, attrs ...slog.Attr) {
	kind := Catalogue()[id]
	logger.LogAttrs(ctx, kind.Level, kind.Text, append([]slog.Attr{slog.Int("event", int(id))}, attrs...)...)
}
