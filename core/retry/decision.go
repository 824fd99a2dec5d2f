package retry

import "pomelofork/core/model"

// Action is what to do about a batch that failed.
type Action uint8

const (
	// ActionRefuse gives the caller a final answer.
	ActionRefuse Action = iota
	// ActionRetry sends the batch again, to the server that is suitable by then.
	ActionRetry
	// ActionLookUpOutcome reads the recorded outcome, and sends the batch again only
	// if none is recorded.
	ActionLookUpOutcome
)

// Decision is what to do about one failed attempt.
type Decision struct {
	// Action applies while the unit has time left.
	Action Action
	// Reason and Outcome are for the refusal, also when the unit has no time left.
	Reason  model.Reason
	Outcome model.Outcome
}

// reasons maps each fault to the reason that callers see.
var reasons = map[Fault]model.Reason{
	FaultNotSent:           model.ReasonConnectionLost,
	FaultNotPrimary:        model.ReasonNoPrimary,
	FaultConnectionClosed:  model.ReasonConnectionLost,
	FaultCommitUnconfirmed: model.ReasonAckTimeout,
	FaultReadUnconfirmed:   model.ReasonNoPrimary,
	FaultTimeout:           model.ReasonDeadline,
}

// Decide returns the decision about one failed attempt, without regard to earlier
// attempts; Tracker takes these into account.
func Decide(a FailedAttempt) Decision {
	return Decision{Action: action(a), Reason: reasons[a.Fault], Outcome: outcome(a)}
}

// outcome returns whether the unit can have taken effect or can still do so.
func outcome(a FailedAttempt) model.Outcome {
	switch {
	case a.Access == model.AccessRead:
		return model.OutcomeNotRun
	case a.Committed:
		return model.OutcomeUnknown
	case a.Fault == FaultNotSent, a.Fault == FaultNotPrimary, a.Fault == FaultReadUnconfirmed:
		return model.OutcomeNotRun
	}
	return model.OutcomeUnknown
}

// action returns whether the batch may be sent again.
func action(a FailedAttempt) Action {
	switch {
	case a.TransactionOpen, a.PartlyAnswered, a.Committed, a.Fault == FaultTimeout:
		return ActionRefuse
	case outcome(a) == model.OutcomeNotRun:
		return ActionRetry
	case a.RequestID:
		return ActionLookUpOutcome
	case a.Idempotent:
		return ActionRetry
	}
	return ActionRefuse
}
