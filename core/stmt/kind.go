package stmt

// Kind says what a statement does.
type Kind uint8

// The kinds of statements.
const (
	// KindInvalid is a statement that could not be parsed.
	KindInvalid Kind = iota
	// KindBegin opens a transaction that may write.
	KindBegin
	// KindBeginRead opens a transaction that only reads.
	KindBeginRead
	// KindRead reads one item.
	KindRead
	// KindWrite writes one item.
	KindWrite
	// KindCommit ends a transaction and keeps its effects.
	KindCommit
	// KindRollback ends a transaction and drops its effects.
	KindRollback
	// KindSet sets a session value.
	KindSet
	// KindPrepare prepares a statement under a name of the session.
	KindPrepare
	// KindExecute runs a prepared statement.
	KindExecute
	// KindDeallocate deletes a prepared statement.
	KindDeallocate
	// KindOversized is a statement that can't be passed on, because the message to the server would be too large.
	KindOversized
)

var kindNames = [...]string{"invalid", "begin", "begin_read", "read", "write", "commit", "rollback", "set", "prepare", "execute", "deallocate", "oversized"}

// String returns the kind's name in snake case.
func (k Kind) String() string { return kindNames[k] }
