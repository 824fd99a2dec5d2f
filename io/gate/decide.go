package gate

import (
	"context"
	"errors"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/retry"
)

// maxRetryPause is the longest wait for a change in the group before another attempt.
const maxRetryPause = 20 * time.Millisecond

// decide returns what to do after an attempt failed with err. If the error alone settles
// the answer to the caller, decide returns that answer as its error.
func (s *stream) decide(ctx context.Context, a *attempt, err error) (retry.Decision, error) {
	var refusal *model.Refusal
	if errors.As(err, &refusal) {
		return retry.Decision{}, s.tracker.CorrectOutcome(refusal)
	}
	var fault *faultError
	if !errors.As(err, &fault) {
		// The sink failed, so nobody would receive the answer of another attempt.
		return retry.Decision{}, s.tracker.CorrectOutcome(model.NewRefusal(model.RefusalConfig{
			Reason: model.ReasonConnectionLost, Outcome: s.outcomeAfterSend(), Detail: err.Error(),
		}))
	}
	decision := s.tracker.Fail(retry.FailedAttempt{
		Fault:           fault.fault,
		Access:          s.unit.Access,
		Idempotent:      s.unit.Idempotent,
		RequestID:       s.unit.RequestID != "",
		TransactionOpen: a.inTransaction,
		PartlyAnswered:  a.answer.forwarded,
		Committed:       s.committed || a.answer.committed,
	})
	if ctx.Err() != nil {
		decision.Action = retry.ActionRefuse
	}
	return decision, nil
}

// outcomeAfterSend returns the outcome of a batch that was sent, but whose answer didn't
// reach the caller. A unit that only reads has no effects, so repeating it is safe.
func (s *stream) outcomeAfterSend() model.Outcome {
	if s.reads() {
		return model.OutcomeNotRun
	}
	return model.OutcomeUnknown
}

// refusal returns the refusal that the caller gets for a decision.
func (s *stream) refusal(decision retry.Decision, a *attempt) *model.Refusal {
	var after time.Duration
	if decision.Outcome == model.OutcomeNotRun {
		after = defaultRetryAfter
	}
	return s.tracker.CorrectOutcome(model.NewRefusal(model.RefusalConfig{
		Reason: decision.Reason, Outcome: decision.Outcome, RetryAfter: after, Detail: string(a.pick.Server),
	}))
}

// waitForChange waits until the state of the group changes, but at most maxRetryPause. It
// returns an error if ctx ends first.
func (s *stream) waitForChange(ctx context.Context) error {
	changed := s.gateway.config.Group.Changed()
	timer := time.NewTimer(maxRetryPause)
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
