package gate

import (
	"errors"
	"time"

	"pomelofork/core/model"
)

// errTooLarge is returned for an answer that exceeds maxBufferBytes before it is certain.
var errTooLarge = errors.New("answer too large to be held until the commit is certain")

// sinkError wraps the error of a sink, as opposed to a fault of the backend server.
type sinkError struct{ err error }

func (e *sinkError) Error() string { return "answer could not be passed on: " + e.err.Error() }

func (e *sinkError) Unwrap() error { return e.err }

// notRun returns a refusal of a request that certainly had no effect.
func notRun(reason model.Reason, detail string) *model.Refusal {
	return model.NewRefusal(model.RefusalConfig{
		Reason: reason, Outcome: model.OutcomeNotRun, RetryAfter: defaultRetryAfter, Detail: detail,
	})
}

// noPrimary returns the refusal of a request that needs the primary while there is none.
// The caller is told to retry after the expected rest of the outage.
func noPrimary(service model.ServiceID, outage time.Duration) *model.Refusal {
	return model.NewRefusal(model.RefusalConfig{
		Reason: model.ReasonNoPrimary, Outcome: model.OutcomeNotRun, RetryAfter: outage, Detail: string(service),
	})
}
