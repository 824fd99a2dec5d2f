package caller

import (
	"errors"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/core/model"
)

const (
	severityError = "ERROR"
	severityFatal = "FATAL"
)

// refusalMessage returns the error message for a refusal. Its detail begins with "not run"
// or "outcome unknown", and its hint says whether and when to retry.
func refusalMessage(severity string, r *model.Refusal) *pgproto3.ErrorResponse {
	detail := r.Outcome().String()
	if r.Detail() != "" {
		detail += ": " + r.Detail()
	}
	hint := "do not retry"
	if r.RetryAfter() > 0 {
		hint = fmt.Sprintf("retry after %d ms", max(1, r.RetryAfter().Milliseconds()))
	}
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                r.Reason().SQLState(),
		Message:             r.Reason().String(),
		Detail:              withoutNUL(detail),
		Hint:                hint,
	}
}

// asRefusal returns the refusal that err wraps. Any other error of a stream doesn't say
// whether the batch ran, so it becomes a refusal whose outcome is unknown.
func asRefusal(err error) *model.Refusal {
	var r *model.Refusal
	if errors.As(err, &r) {
		return r
	}
	return model.NewRefusal(model.RefusalConfig{Reason: model.ReasonConnectionLost, Outcome: model.OutcomeUnknown, Detail: err.Error()})
}

// notRun returns the refusal of a request that was not sent to any gateway and whose retry
// can't succeed.
func notRun(reason model.Reason, format string, args ...any) *model.Refusal {
	return model.NewRefusal(model.RefusalConfig{Reason: reason, Outcome: model.OutcomeNotRun, Detail: fmt.Sprintf(format, args...)})
}

// newErrorResponse returns the error message for a fault that isn't the refusal of a unit
// of work, such as an unknown setting. The code is an SQLSTATE.
func newErrorResponse(code, format string, args ...any) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            severityError,
		SeverityUnlocalized: severityError,
		Code:                code,
		Message:             withoutNUL(fmt.Sprintf(format, args...)),
		Detail:              model.OutcomeNotRun.String(),
	}
}

// withoutNUL replaces the character that ends a text in a message of PostgreSQL. What follows
// it would be read as further fields.
func withoutNUL(text string) string { return strings.ReplaceAll(text, "\x00", "\uFFFD") }
