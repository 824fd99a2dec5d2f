package dbconn

import "fmt"

// ConnError is the failure of a connection, or the end of a context during an
// exchange.
type ConnError struct {
	sent bool
	err  error
}

// Sent reports whether any byte of the last exchange was written to the connection,
// so that the server may have received it.
func (e *ConnError) Sent() bool { return e.sent }

// Error implements error.
func (e *ConnError) Error() string {
	if e.sent {
		return fmt.Sprintf("connection failed after data was sent: %v", e.err)
	}
	return fmt.Sprintf("connection failed before anything was sent: %v", e.err)
}

// Unwrap returns the cause: the error of the connection, joined with the context's
// cause if the context had ended.
func (e *ConnError) Unwrap() error { return e.err }
