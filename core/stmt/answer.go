package stmt

import "pomelofork/core/model"

// State is the transaction state of a session.
type State uint8

// The transaction states.
const (
	// StateIdle means that no transaction is open.
	StateIdle State = iota
	// StateOpen means that a transaction is open.
	StateOpen
	// StateFailed means that a transaction is open that can only be ended.
	StateFailed
)

// Answer is the answer to a statement.
type Answer struct {
	// Rows are the rows as the server sent them.
	Rows []string
	// Digest is the server's digest of the answer. It is set with CodeDone only.
	Digest string
	// Code says how the statement ended.
	Code Code
	// Text explains a code other than CodeDone.
	Text string
	// State is the transaction state after the statement.
	State State
	// Point is the point in the server's log that the answer reports, or zero.
	Point model.Point
}

// Refuse returns an answer without rows, for a statement that got a code other than
// CodeDone.
func Refuse(code Code, state State, text string) Answer {
	return Answer{Code: code, State: state, Text: text}
}
