package route

import (
	"time"

	"pomelofork/core/model"
)

// Requirements is what a unit of work needs of its backend server.
type Requirements struct {
	// Access says whether the unit may write.
	Access model.Access
	// MaxAge is the age of data that a read accepts. Zero means that only current
	// data, from the primary, will do.
	MaxAge time.Duration
	// Token is the log point of the session's last write. The zero point means that
	// the session has written nothing.
	Token model.Point
	// TokenKnown is false if it is not known what the session wrote.
	TokenKnown bool
	// WaitingSince is when the unit began to wait for a server.
	WaitingSince time.Time
}

// PrimaryOnly reports whether only the primary can serve the unit.
func (r Requirements) PrimaryOnly() bool {
	return r.Access == model.AccessWrite || r.MaxAge <= 0 || !r.TokenKnown
}
