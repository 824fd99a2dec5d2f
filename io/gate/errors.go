package gate

import (
	"errors"
	"time"

	"pomelofork/core/model"
)

// errTooLarge ends an answer that can't be held back until it is certain.
var errTooLarge = errors.New("answer too large to be held until the commit is certain")

// errSink wraps the error of a sink, which is no fault of the backend server.
type sinkError struct{ err error }

func (e *sinkError) Error() string { return "answer not taken: " + e.err.Error() }

func (e *sinkError) Unwrap() error { return e.err }

// notRun returns a refusal of something that surely had no effect.
func notRun(reason model.Reason, detail string) *model.Refusal {
	return model.NewRefusal(model.RefusalConfig{
		Reason: reason, Outcome: model.OutcomeNotRun, RetryAfter: noPrimaryRetry, Detail: detail,
	})
}

// noPrimary returns the refusal of something that needs a primary.
func noPrimary(service model.ServiceID, gap time.Duration) *model.Refusal {
	return model.NewRefusal(model.RefusalConfig{
		Reason: model.ReasonNoPrimary, Outcome: model.OutcomeNotRun, RetryAfter: gap, Detail: string(service),
	})
}
