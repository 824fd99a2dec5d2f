package term

// Fault is a kind of evidence of a failure of a server.
type Fault uint8

// The kinds of evidence. A refused connection shows that no process listens there.
// The others can also be caused by a paused process or a slow network.
const (
	// FaultRefused is a refused connection.
	FaultRefused Fault = iota + 1
	// FaultConnectionClosed is an open connection that failed or was closed by the other side.
	FaultConnectionClosed
	// FaultTimeout is a status request or a statement that got no answer in time.
	FaultTimeout
	// FaultLogin is a server that answers but refuses the login of this instance. Its
	// process is running.
	FaultLogin
	// FaultStatement is a statement of a caller that failed through the server's
	// fault.
	FaultStatement
)

// String returns the name of the fault in logs.
func (f Fault) String() string {
	switch f {
	case FaultRefused:
		return "refused"
	case FaultConnectionClosed:
		return "lost"
	case FaultTimeout:
		return "timeout"
	case FaultLogin:
		return "login"
	default:
		return "statement"
	}
}
