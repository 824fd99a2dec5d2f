package store

import (
	"errors"
	"fmt"
)

// ErrNotFound says that the key or the lease does not exist.
var ErrNotFound = errors.New("not found in the store")

// ErrUnavailable says that the store did not take the call: the connection was
// refused or the store answered that it is out of service. A change that fails
// with it surely did not happen.
var ErrUnavailable = errors.New("store unavailable")

// ConflictError says that the item has another revision than the expected one.
type ConflictError struct {
	revision uint64
}

// NewConflictError returns the error for an item whose revision is current.
func NewConflictError(current uint64) *ConflictError {
	return &ConflictError{revision: current}
}

// Revision returns the item's current revision. Zero means absent.
func (e *ConflictError) Revision() uint64 { return e.revision }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: the current revision is %d", e.revision)
}

// UnknownError says that the answer to a change was lost: the change may or may
// not have taken effect. Only reading back tells.
type UnknownError struct {
	cause error
}

// NewUnknownError returns the error for an answer lost because of cause.
func NewUnknownError(cause error) *UnknownError { return &UnknownError{cause: cause} }

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("answer of the store lost, the change may have taken effect: %v", e.cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.cause }

// RequestError says that the store refused a call as malformed. Nothing happened.
type RequestError struct {
	status int
	text   string
}

// NewRequestError returns the error for an answer with the given HTTP status.
func NewRequestError(status int, text string) *RequestError {
	return &RequestError{status: status, text: text}
}

// Status returns the HTTP status of the answer.
func (e *RequestError) Status() int { return e.status }

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("store refused the call: %s (status %d)", e.text, e.status)
}
