package gate

import (
	"fmt"

	"pomelofork/core/retry"
)

// faultError says that an attempt got no complete answer, or one that can't be passed on.
type faultError struct {
	fault retry.Fault
	err   error
}

func (e *faultError) Error() string { return fmt.Sprintf("attempt failed: %v", e.err) }

func (e *faultError) Unwrap() error { return e.err }
