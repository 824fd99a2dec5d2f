package main

import (
	"errors"

	"pomelofork/core/conf"
	"pomelofork/io/admin"
)

// The exit statuses besides 0 (success), 1 (any other failure) and 80 (wrong usage, set by
// kong). docs/OPERATIONS.md lists them.
const (
	// exitInvalid means that the configuration file or the change is invalid and was not applied.
	exitInvalid = 3
	// exitConflict means that another change was made first, so this one never takes effect.
	exitConflict = 4
	// exitOutcomeUnknown means that the change may have taken effect, or is not yet confirmed
	// in force at every instance.
	exitOutcomeUnknown = 5
	// exitUnavailable means that the store could not be reached and nothing was changed.
	exitUnavailable = 6
	// exitUnauthorised means that the operator's token is wrong.
	exitUnauthorised = 7
	// exitNotFound means that the named object doesn't exist, or that the fleet has no
	// configuration yet.
	exitNotFound = 8
)

// exitError is an error that ends the program with the exit status that belongs to it.
type exitError struct {
	status int
	cause  error
}

// Error implements error.
func (e *exitError) Error() string { return e.cause.Error() }

// Unwrap returns the error that e was made from.
func (e *exitError) Unwrap() error { return e.cause }

// ExitCode implements kong.ExitCoder.
func (e *exitError) ExitCode() int { return e.status }

// withStatus adds the exit status to an error with which the administration API answered. It
// returns other errors, and nil, as they are.
func withStatus(err error) error {
	answer := new(admin.APIError)
	if !errors.As(err, &answer) {
		return err
	}
	statuses := map[string]int{
		"bad_request":                   exitInvalid,
		"unauthorised":                  exitUnauthorised,
		"not_found":                     exitNotFound,
		conf.AnswerRefused.String():     exitInvalid,
		conf.AnswerConflicting.String(): exitConflict,
		conf.AnswerNotKnown.String():    exitOutcomeUnknown,
		conf.AnswerUnavailable.String(): exitUnavailable,
	}
	return &exitError{status: statuses[answer.Code()], cause: err}
}
