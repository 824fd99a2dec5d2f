package meter

import (
	"time"

	"pomelofork/core/model"
)

// Unit is a finished unit of work (a transaction, or a statement outside of one) with its
// outcome at the entry.
type Unit struct {
	// Account, Route and Service are the client account, the route and the service of the
	// unit.
	Account model.AccountID
	Route   model.RouteID
	Service model.ServiceID
	// Access says whether the unit might write.
	Access model.Access
	// Server is the backend server that answered, or empty if none did. Replica says that
	// it was a replica.
	Server  model.ServerID
	Replica bool
	// Reason is the reason of the refusal, or zero if the unit got a complete answer.
	Reason model.Reason
	// Started is when the unit arrived at the entry.
	Started time.Time
}

// outcome classifies the end of a unit of work by who caused it.
type outcome uint8

const (
	outcomeServed outcome = iota
	outcomeRateExceeded
	outcomeCallerError
	outcomeSystemError
)

// outcomeOf returns the outcome for the reason of a refusal. Zero means that there was none.
func outcomeOf(reason model.Reason) outcome {
	switch reason {
	case 0:
		return outcomeServed
	case model.ReasonRateExceeded:
		return outcomeRateExceeded
	case model.ReasonUnknownAccount, model.ReasonWrongKey, model.ReasonKeyWithdrawn,
		model.ReasonUnknownRoute, model.ReasonRouteForbidden, model.ReasonWriteOnReadRoute,
		model.ReasonBadMessage, model.ReasonTooLarge:
		return outcomeCallerError
	default:
		return outcomeSystemError
	}
}
