package wire

import (
	"time"

	"pomelofork/core/model"
)

// Unit describes one unit of work, which is a transaction or a single statement
// outside one. It travels ahead of the unit's first batch. The field names are
// the JSON form between instances, so they are exported.
type Unit struct {
	// Account is the client account whose key came with the session.
	Account model.AccountID `json:"account"`
	// Service is the service that runs the unit.
	Service model.ServiceID `json:"service"`
	// Route is the declared route, for metrics.
	Route model.RouteID `json:"route"`
	// Access says whether the unit may write.
	Access model.Access `json:"access"`
	// MaxAge is the age that a read accepts, in nanoseconds. Zero accepts none.
	MaxAge time.Duration `json:"max_age_ns"`
	// Token is the session's token in the form of model.Point, or empty when it
	// is unknown. A read without a token runs at the primary.
	Token string `json:"token,omitempty"`
	// Remaining is the time left for the unit when it was sent, in nanoseconds.
	// It is a duration because the clocks of two instances differ.
	Remaining time.Duration `json:"remaining_ns"`
	// RequestID is the caller's id of the request, or empty.
	RequestID string `json:"request_id,omitempty"`
	// Idempotent says that the route's requests may be repeated.
	Idempotent bool `json:"idempotent,omitempty"`
}
