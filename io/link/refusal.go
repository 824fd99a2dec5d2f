package link

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/core/model"
)

// refusalRoutine marks an ErrorResponse that carries a refusal, in its field Routine.
// No backend server uses this name.
const refusalRoutine = "pomelofork_refusal"

// refusalText is the JSON form of a refusal between instances.
type refusalText struct {
	Reason     model.Reason  `json:"reason"`
	Outcome    model.Outcome `json:"outcome"`
	RetryAfter time.Duration `json:"retry_after_ns"`
	Detail     string        `json:"detail"`
}

// encodeRefusal returns the message that carries a refusal.
func encodeRefusal(r *model.Refusal, severity string) (*pgproto3.ErrorResponse, error) {
	text, err := json.Marshal(refusalText{
		Reason: r.Reason(), Outcome: r.Outcome(), RetryAfter: r.RetryAfter(), Detail: r.Detail(),
	})
	if err != nil {
		return nil, fmt.Errorf("refusal: %w", err)
	}
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: r.Reason().SQLState(),
		Message: r.Reason().String(), Detail: string(text), Routine: refusalRoutine,
	}, nil
}

// decodeRefusal returns the refusal that a message carries, and false if the message
// is an error of a backend server.
func decodeRefusal(m *pgproto3.ErrorResponse) (*model.Refusal, bool) {
	if m.Routine != refusalRoutine {
		return nil, false
	}
	// If the detail cannot be parsed, the outcome is unknown.
	text := refusalText{Reason: model.ReasonConnectionLost, Outcome: model.OutcomeUnknown}
	if err := json.Unmarshal([]byte(m.Detail), &text); err != nil {
		text.Detail = "refusal of another instance can't be read"
	}
	// A newer build may have reasons and outcomes that this one doesn't know.
	if text.Reason.SQLState() == "" {
		text.Reason = model.ReasonConnectionLost
	}
	if text.Outcome != model.OutcomeNotRun {
		text.Outcome = model.OutcomeUnknown
	}
	return model.NewRefusal(model.RefusalConfig{
		Reason: text.Reason, Outcome: text.Outcome, RetryAfter: max(text.RetryAfter, 0), Detail: text.Detail,
	}), true
}

// asRefusal returns the refusal in an error of a stream. For any other error it
// returns one with an unknown outcome for a write. A read has no effect, so its
// outcome is "not run" however far it got.
func asRefusal(err error, access model.Access) *model.Refusal {
	var refusal *model.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	outcome := model.OutcomeNotRun
	if access == model.AccessWrite {
		outcome = model.OutcomeUnknown
	}
	return model.NewRefusal(model.RefusalConfig{
		Reason: model.ReasonConnectionLost, Outcome: outcome, Detail: "unexpected fault of a lane",
	})
}
