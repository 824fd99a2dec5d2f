package stmt

import "pomelofork/core/model"

// Op says what a command to a backend server does.
type Op uint8

// The operations. All but OpPass originate in the proxy and carry no identifier of a caller.
const (
	// OpPass forwards a caller's statement, unchanged but for the name of a prepared
	// statement.
	OpPass Op = iota
	// OpBegin opens a transaction that only a primary accepts.
	OpBegin
	// OpBeginRead opens a transaction that only reads.
	OpBeginRead
	// OpRollback ends a transaction and drops its effects.
	OpRollback
	// OpReset deletes the session values and the prepared statements of the connection.
	OpReset
	// OpSet sets a session value.
	OpSet
	// OpPrepare prepares a statement.
	OpPrepare
	// OpStatus asks for the server's own view of the replication.
	OpStatus
	// OpPause stops a replica from receiving more of the log, so that a promotion starts
	// exactly from the point that it reports as received.
	OpPause
	// OpResume lets a paused replica receive again.
	OpResume
	// OpStepDown makes a primary of a lower term a replica.
	OpStepDown
)

// Command is one message to a backend server.
type Command struct {
	// Op says what the command does.
	Op Op
	// ID is the caller's identifier of the request. It is set with OpPass only.
	ID string
	// Text is the caller's statement. It is set with OpPass only.
	Text string
	// After is the point that the server's log must hold, or zero.
	After model.Point
	// Name is the name of the session value or of the prepared statement.
	Name string
	// Rest is the content of the session value, or the text of the prepared statement.
	Rest string
	// Writes says that the prepared statement writes.
	Writes bool
	// Term is the term of the new primary. It is set with OpStepDown and OpPause only.
	Term model.Term
}
