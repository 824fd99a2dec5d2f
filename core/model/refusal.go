package model

import (
	"fmt"
	"time"
)

// Refusal is the error that ends a request without a result. It says why, whether the
// request may have taken effect, and when a retry makes sense.
type Refusal struct {
	reason     Reason
	outcome    Outcome
	retryAfter time.Duration
	detail     string
}

// RefusalConfig holds the parts of a refusal.
type RefusalConfig struct {
	// Reason is the cause, which determines the SQLSTATE.
	Reason Reason
	// Outcome says whether the request may have taken effect.
	Outcome Outcome
	// RetryAfter is the time after which a retry makes sense. Zero means that a
	// retry of the same request can't succeed.
	RetryAfter time.Duration
	// Detail names the object or the error that caused the refusal. It may be empty, and
	// must not contain a key or data of a statement.
	Detail string
}

// NewRefusal returns the refusal with the given parts.
func NewRefusal(c RefusalConfig) *Refusal {
	return &Refusal{reason: c.Reason, outcome: c.Outcome, retryAfter: c.RetryAfter, detail: c.Detail}
}

// Reason returns the cause.
func (r *Refusal) Reason() Reason { return r.reason }

// Outcome says whether the request may have taken effect.
func (r *Refusal) Outcome() Outcome { return r.outcome }

// RetryAfter returns the time after which a retry makes sense, or zero if a retry of the
// same request can't succeed.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Detail names the object or the error that caused the refusal, or is empty.
func (r *Refusal) Detail() string { return r.detail }

// Error implements error. It returns, for example, "queue of the client account full
// (not run)".
func (r *Refusal) Error() string {
	if r.detail == "" {
		return fmt.Sprintf("%s (%s)", r.reason, r.outcome)
	}
	return fmt.Sprintf("%s: %s (%s)", r.reason, r.detail, r.outcome)
}
