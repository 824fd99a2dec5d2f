package term

import (
	"time"

	"pomelofork/core/model"
)

// Status is what one server reports about itself.
type Status struct {
	// Primary says that the server believes that it is the primary of Promised.
	Primary bool
	// Promised is the newest term that the server was fenced for.
	Promised model.Term
	// Log is the last log entry that the server holds durably.
	Log model.Point
	// Applied is the last log entry that its reads see.
	Applied model.Point
	// SincePrimaryContact is the time since a replica last received something from its
	// primary.
	SincePrimaryContact time.Duration
	// Leaving says that the server must get no new work.
	Leaving bool
}
