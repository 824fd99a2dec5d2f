package meter

import (
	"time"

	"pomelofork/core/model"
)

// Unit is the end of one unit of work, as an entry saw it.
type Unit struct {
	// Account, Route and Service say whose it was and where it was to run.
	Account model.AccountID
	Route   model.RouteID
	Service model.ServiceID
	// Access says whether the unit could write.
	Access model.Access
	// Server answered, or is empty when none did. Replica says that it wasn't the
	// primary.
	Server  model.ServerID
	Replica bool
	// Reason is the cause of the refusal, or zero when the answer was whole.
	Reason model.Reason
	// Started is when the unit arrived.
	Started time.Time
}

// fault says whose doing a refusal is.
type fault uint8

const (
	faultNone fault = iota
	faultRate
	faultCaller
	faultSystem
)

// faultOf sorts the causes of refusals.
func faultOf(reason model.Reason) fault {
	switch reason {
	case 0:
		return faultNone
	case model.ReasonRateExceeded:
		return faultRate
	case model.ReasonUnknownAccount, model.ReasonWrongKey, model.ReasonKeyWithdrawn,
		model.ReasonUnknownRoute, model.ReasonRouteForbidden, model.ReasonWriteOnReadRoute,
		model.ReasonBadMessage, model.ReasonTooLarge:
		return faultCaller
	default:
		return faultSystem
	}
}
