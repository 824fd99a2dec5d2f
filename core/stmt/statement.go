package stmt

// Statement is one request of a caller.
type Statement struct {
	// ID is the caller's identifier of the request. It is passed on unchanged.
	ID string
	// Text is the statement as the caller wrote it.
	Text string
	// Kind says what the statement does. The execution of a prepared statement is
	// KindExecute, whether it reads or writes.
	Kind Kind
	// Name is the name of the session value or of the prepared statement, or empty.
	Name string
	// Rest is what follows the name: the content of a session value, the text of a
	// prepared statement, or the arguments of an execution.
	Rest string
	// Writes says that a prepared statement writes. It is set with KindPrepare only.
	Writes bool
	// NoPrefix says that a message to a server has no room for a log point beside the statement. Outside of a
	// transaction it can only run where none is needed. It isn't passed on to the gateway.
	NoPrefix bool
}

// Value is one session value.
type Value struct {
	// Name is the value's name.
	Name string
	// Content is what the value was set to.
	Content string
}

// Prepared is a prepared statement of a session.
type Prepared struct {
	// Shape is the statement's text, as the caller wrote it. Empty means that there is
	// none.
	Shape string
	// Writes says that the statement writes.
	Writes bool
}
