package line

import "fmt"

// LostError says that a connection can't be used any more.
type LostError struct {
	sent bool
	err  error
}

// Sent reports whether any byte of the messages may have reached the other end.
func (e *LostError) Sent() bool { return e.sent }

// Error implements error.
func (e *LostError) Error() string {
	if e.sent {
		return fmt.Sprintf("connection lost while it answered: %v", e.err)
	}
	return fmt.Sprintf("connection lost before anything was sent: %v", e.err)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.err }
