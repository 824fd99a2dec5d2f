package store

import (
	"errors"
	"fmt"
)

// ErrNotFound means that the key or the lease does not exist.
var ErrNotFound = errors.New("not found in the store")

// ErrUnavailable means that the store did not accept the call: the connection could not be
// established, or the store answered that it is out of service. A change that fails with
// it has certainly not taken effect.
var ErrUnavailable = errors.New("store unavailable")

// ConflictError means that the item does not have the expected revision.
type ConflictError struct {
	revision uint64
}

// NewConflictError returns the error for an item with the revision current. Zero means
// that the key is absent.
func NewConflictError(current uint64) *ConflictError {
	return &ConflictError{revision: current}
}

// Revision returns the item's current revision. Zero means that the key is absent, or that
// the store did not report the revision.
func (e *ConflictError) Revision() uint64 { return e.revision }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision conflict: the current revision is %d", e.revision)
}

// UnknownError means that there is no answer to a change, or none that can be read, so
// that the change may or may not have taken effect. Reading the item again is the only way
// to find out.
type UnknownError struct {
	cause error
}

// NewUnknownError returns the error for a change without an answer because of cause.
func NewUnknownError(cause error) *UnknownError { return &UnknownError{cause: cause} }

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("no valid answer from the store, the change may have taken effect: %v", e.cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.cause }

// RequestError means that the store refused a call as invalid. The call has not taken
// effect.
type RequestError struct {
	status int
	text   string
}

// NewRequestError returns the error for a response with the given HTTP status and error
// text.
func NewRequestError(status int, text string) *RequestError {
	return &RequestError{status: status, text: text}
}

// Status returns the HTTP status of the response.
func (e *RequestError) Status() int { return e.status }

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("store refused the call: %s (status %d)", e.text, e.status)
}
