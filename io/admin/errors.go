package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"

	"pomelofork/core/conf"
)

// errNoAddress is returned by a client without addresses.
var errNoAddress = errors.New("no administration address of an instance is configured")

// APIError is an error response of an instance.
type APIError struct {
	detail ErrorDetail
	cause  error
}

// newAPIError returns the error of a response. It is an *APIError unless the body has
// another form, for example because a proxy sent the response.
func newAPIError(status int, text []byte) error {
	var failure ErrorResponse
	if err := json.Unmarshal(text, &failure); err != nil || failure.Error.Code == "" {
		return fmt.Errorf("the administration API answered with HTTP status %d and no error code", status)
	}
	return &APIError{detail: failure.Error}
}

// Code returns the code of the error. Clients may depend on it.
func (e *APIError) Code() string { return e.detail.Code }

// Version returns the current version of the configuration, or zero if it isn't known.
func (e *APIError) Version() uint64 { return e.detail.Version }

// Faults returns the faults of a rejected change. The caller must not modify the slice.
func (e *APIError) Faults() []FaultMessage { return e.detail.Faults }

// Unwrap returns the error of the last call if the outcome of a change is unknown, and nil
// otherwise.
func (e *APIError) Unwrap() error { return e.cause }

// Error implements error.
func (e *APIError) Error() string {
	var text strings.Builder
	text.WriteString(e.detail.Code + ": " + e.detail.Message)
	if e.detail.Version > 0 {
		fmt.Fprintf(&text, " (current version %d)", e.detail.Version)
	}
	for _, fault := range e.detail.Faults {
		text.WriteString("\n  " + strings.TrimPrefix(fault.Place+": "+fault.Text, ": "))
	}
	return text.String()
}

// isFinal reports whether the answer to a change is definite, so that the change need not
// be sent to another instance.
func (e *APIError) isFinal() bool {
	switch e.detail.Code {
	case conf.AnswerUnavailable.String(), conf.AnswerNotKnown.String():
		return false
	}
	return true
}

// isDialError reports whether no connection was made, so that the request certainly
// reached no instance.
func isDialError(err error) bool {
	op := new(net.OpError)
	return errors.As(err, &op) && op.Op == "dial"
}
