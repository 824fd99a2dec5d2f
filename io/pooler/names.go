package pooler

import (
	"strconv"

	"pomelofork/core/stmt"
)

const (
	// maxPrepared and maxPreparedBytes bound the prepared statements of one connection to a server, by their
	// number and by the bytes of their shapes. Beyond that the server's session is reset.
	maxPrepared      = 1000
	maxPreparedBytes = 1 << 20
	// maxInTransaction and maxInTransactionBytes bound the same inside a transaction, in which the session can't be
	// reset. Beyond that an execution is refused.
	maxInTransaction      = 2 * maxPrepared
	maxInTransactionBytes = 16 << 20
	// namePrefix begins each name of a prepared statement at a server.
	namePrefix = "p"
	// MaxNameBytes is the length of the longest name of a prepared statement that a server gets.
	MaxNameBytes = 6
)

// preparedNames are the names of the prepared statements of a server's session. They are numbered, so that
// nothing that a caller chose is part of a name: the server would take a blank as its end.
type preparedNames struct {
	byStatement map[stmt.Prepared]string
	// bytes is the size of the shapes.
	bytes int
}

// name returns the name of a statement, and false if it has none.
func (n *preparedNames) name(p stmt.Prepared) (string, bool) {
	name, ok := n.byStatement[p]
	return name, ok
}

// add gives a statement a name.
func (n *preparedNames) add(p stmt.Prepared) string {
	if n.byStatement == nil {
		n.byStatement = map[stmt.Prepared]string{}
	}
	name := namePrefix + strconv.FormatInt(int64(len(n.byStatement)), 36)
	n.byStatement[p] = name
	n.bytes += len(p.Shape)
	return name
}

// full reports whether the session should be reset before another statement is added.
func (n *preparedNames) full(p stmt.Prepared) bool {
	return len(n.byStatement) >= maxPrepared || (len(n.byStatement) > 0 && n.bytes+len(p.Shape) > maxPreparedBytes)
}

// exceeded reports whether the session must not get another statement.
func (n *preparedNames) exceeded(p stmt.Prepared) bool {
	return len(n.byStatement) >= maxInTransaction || n.bytes+len(p.Shape) > maxInTransactionBytes
}

// clear forgets all statements, as a reset of the session does at the server.
func (n *preparedNames) clear() { *n = preparedNames{} }
