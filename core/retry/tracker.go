package retry

import "pomelofork/core/model"

// Tracker follows all attempts at one batch. The zero value is a batch that was never
// sent.
type Tracker struct {
	// inDoubt is true once some attempt may have taken effect.
	inDoubt bool
}

// Fail records a failed attempt and returns what to do about it. Once an attempt may
// have taken effect, the outcome stays unknown, whatever later attempts return.
func (t *Tracker) Fail(a FailedAttempt) Decision {
	decision := Decide(a)
	t.inDoubt = t.inDoubt || decision.Outcome == model.OutcomeUnknown
	if t.inDoubt {
		decision.Outcome = model.OutcomeUnknown
	}
	return decision
}

// InDoubt reports whether some attempt may have taken effect.
func (t *Tracker) InDoubt() bool { return t.inDoubt }

// CorrectOutcome returns the refusal with the outcome that is true for all attempts
// together: unknown if any earlier attempt may have taken effect.
func (t *Tracker) CorrectOutcome(refusal *model.Refusal) *model.Refusal {
	if !t.inDoubt || refusal.Outcome() == model.OutcomeUnknown {
		return refusal
	}
	return model.NewRefusal(model.RefusalConfig{
		Reason: refusal.Reason(), Outcome: model.OutcomeUnknown, RetryAfter: refusal.RetryAfter(), Detail: refusal.Detail(),
	})
}
