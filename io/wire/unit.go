package wire

import (
	"time"

	"pomelofork/core/model"
)

// Unit describes one unit of work: a transaction, or a single statement outside of one.
// It is sent ahead of the unit's first batch, as JSON if the gateway is another
// instance.
type Unit struct {
	// Account is the client account that the session's key belongs to.
	Account model.AccountID `json:"account"`
	// Service is the service that the unit runs on.
	Service model.ServiceID `json:"service"`
	// Route is the route that the unit was sent on. It is for diagnostics only.
	Route model.RouteID `json:"route"`
	// Access says whether the unit may write.
	Access model.Access `json:"access"`
	// MaxAge is the greatest age of data that a read accepts, in nanoseconds. Zero
	// means that only current data, from the primary, will do.
	MaxAge time.Duration `json:"max_age_ns"`
	// Token is the log point of the session's last write, in the text form of
	// model.Point. It is empty if the point is unknown; a read then runs at the
	// primary.
	Token string `json:"token,omitempty"`
	// Remaining is the time left for the unit when it was sent, in nanoseconds. It is
	// a duration, not a deadline, because the clocks of two instances differ.
	Remaining time.Duration `json:"remaining_ns"`
	// RequestID is the caller's id of the request. It is empty if there is none.
	RequestID string `json:"request_id,omitempty"`
	// Idempotent says that requests of the route may be executed more than once.
	Idempotent bool `json:"idempotent,omitempty"`
}
