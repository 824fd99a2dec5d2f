package stmt

import (
	"time"

	"pomelofork/core/model"
)

// Order is the request to run a caller's statement. The instance that accepted the caller
// (the entry) sends it to the instance that has the connections of the backend server (the
// gateway).
type Order struct {
	// Entry identifies the entry and its incarnation.
	Entry uint64
	// Unit is the number of the transaction at the entry, or 0 outside of a transaction.
	Unit uint64
	// Begin opens a transaction before the statement: OpBegin, OpBeginRead, or OpPass for
	// none.
	Begin Op
	// Prove runs a single read in a transaction that only a primary accepts, so that the
	// read fails at any other server.
	Prove bool
	// After is the point that the server's log must hold, or zero.
	After model.Point
	// Server is the backend server that runs the statement.
	Server model.ServerID
	// Epoch is the epoch of the appointment by which the entry takes a server for the primary.
	// It counts only for work that the primary alone may do.
	Epoch uint64
	// Account is the client account that the connection belongs to.
	Account model.AccountID
	// Class groups statements of similar cost.
	Class string
	// Priority orders the classes; 0 goes first.
	Priority int
	// Target is the time left until the operation should be answered.
	Target time.Duration
	// Timeout is the time left for the statement.
	Timeout time.Duration
	// Homes are the regions in which the order may run. Empty means all.
	Homes []model.Region
	// Values are the values of the session, to be set on the connection.
	Values []Value
	// Prepared is the prepared statement that a KindExecute statement runs.
	Prepared Prepared
	// Statement is what the caller sent.
	Statement Statement
}

// NeedsPrimary reports whether only the primary may run the order. An order that continues a
// transaction needs it if the transaction does, which the order doesn't say.
func (o *Order) NeedsPrimary() bool {
	return o.Prove || o.Begin == OpBegin || (o.Unit == 0 && o.Writes())
}

// AnyServerMayRun reports whether every server of the service may run the order: a read outside of
// a transaction that doesn't need the primary.
func (o *Order) AnyServerMayRun() bool { return o.Unit == 0 && o.Reads() && !o.NeedsPrimary() }

// AnyServerMayBegin reports whether every server of the service may run the order, or begin its
// transaction.
func (o *Order) AnyServerMayBegin() bool {
	return o.AnyServerMayRun() || (o.Unit != 0 && o.Begin == OpBeginRead)
}

// Writes reports whether the statement, or the prepared statement that it executes,
// writes.
func (o *Order) Writes() bool {
	return o.Statement.Kind == KindWrite || (o.Statement.Kind == KindExecute && o.Prepared.Writes)
}

// Reads reports whether the statement, or the prepared statement that it executes, is a
// read.
func (o *Order) Reads() bool {
	return o.Statement.Kind == KindRead || (o.Statement.Kind == KindExecute && !o.Prepared.Writes)
}

// Result is the outcome of an Order.
type Result struct {
	// Answer is the server's answer, or the refusal of an instance in between.
	Answer Answer
	// NotSent says that the statement was never sent to the server.
	NotSent bool
	// RetryAfter is the time after which a refused caller may retry, or zero.
	RetryAfter time.Duration
	// Wait is the time that a new statement would wait for a slot of the server.
	Wait time.Duration
	// Waits are the same for each priority, as far as the gateway knows, lowest number first.
	Waits []PriorityWait
	// OpeningShare is the recent part of the server's slot time that the opening of connections took, from 0
	// to 1.
	OpeningShare float64
	// Latest is a point in the log of the server's service that covers every commit
	// acknowledged longer ago than LatestAge. Zero means that none is known.
	Latest model.Point
	// LatestAge belongs to Latest. It counts back from when the result was made.
	LatestAge time.Duration
}

// PriorityWait is the time that a new statement of a priority would wait for a slot of a server.
type PriorityWait struct {
	Priority int
	Wait     time.Duration
}
