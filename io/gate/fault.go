package gate

import (
	"fmt"

	"pomelofork/core/retry"
)

// faultError is an attempt that got no complete answer.
type faultError struct {
	fault retry.Fault
	err   error
}

func (e *faultError) Error() string { return fmt.Sprintf("attempt failed: %v", e.err) }

func (e *faultError) Unwrap() error { return e.err }
