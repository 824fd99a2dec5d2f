package pick

import "time"

// Action is what an entry does next with a statement.
type Action uint8

// The actions.
const (
	// ActionSend makes an attempt at the chosen server, or does what is usual if there is none.
	ActionSend Action = iota
	// ActionWait chooses again after a pause.
	ActionWait
	// ActionRefuse refuses the statement.
	ActionRefuse
	// ActionStop makes no further attempt. The result of the last one counts.
	ActionStop
)

// The reasons of decisions, as callers and operators see them.
const (
	ReasonAtPrimary  = "read at the primary beside its own work"
	ReasonAwait      = "waits for a replica that catches up"
	ReasonLagging    = "replicas lag and the primary takes no more reads"
	ReasonLate       = "no server can answer in time"
	ReasonNoRetry    = "no server can answer a further attempt in time"
	ReasonRetrySpent = "further attempts of the service are used up"
)

// Decision is what an entry does next with a statement. The zero value sends it.
type Decision struct {
	Action Action
	// After is the pause, or the time after which the caller of a refused statement should return.
	After time.Duration
	// Reason is empty for what is usual.
	Reason string
}
