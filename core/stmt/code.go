package stmt

// Code says how a statement ended.
type Code uint8

// The codes. Those up to CodeConnectionLimit, but for CodeDone, promise that the attempt
// had no lasting effect.
const (
	// CodeDone means success.
	CodeDone Code = iota
	// CodeBusy means that no capacity became free in time.
	CodeBusy
	// CodeAborted means that the transaction was rolled back.
	CodeAborted
	// CodeLagging means that the server's log does not hold the wanted point yet.
	CodeLagging
	// CodeReadOnly means that the server is not the primary of its service.
	CodeReadOnly
	// CodeMoved means that another server than the wanted one answers at the address.
	CodeMoved
	// CodeConnectionLimit means that the server accepts no more connections.
	CodeConnectionLimit
	// CodeFailed means that the statement ran and failed.
	CodeFailed
	// CodeNoStatement means that the prepared name is unknown.
	CodeNoStatement
	// CodeTimeout means that the timeout of the statement expired; it may have run.
	CodeTimeout
	// CodeUnauthorized means that the key is unknown or withdrawn.
	CodeUnauthorized
	// CodeNoDatabase means that there is no such route.
	CodeNoDatabase
	// CodeTooLarge means that a message was larger than the limit.
	CodeTooLarge
	// CodeMalformed means that the request could not be parsed or is not allowed in the
	// session's state.
	CodeMalformed
	// CodeInDoubt means that a write may or may not have taken effect.
	CodeInDoubt
	// CodeConnectionLost means that the connection to the server broke before an answer.
	// It is used inside the program only; a caller gets CodeInDoubt or CodeAborted
	// instead.
	CodeConnectionLost
)

var codeNames = [...]string{
	"done", "busy", "aborted", "lagging", "read_only", "moved", "connection_limit", "failed", "no_statement",
	"timeout", "unauthorized", "no_database", "too_large", "malformed", "in_doubt", "lost",
}

// String returns the code's name in snake case.
func (c Code) String() string {
	if int(c) < len(codeNames) {
		return codeNames[c]
	}
	return "unknown"
}

// NotRun reports whether the code, sent by a server, says that the statement did not run.
func (c Code) NotRun() bool {
	switch c {
	case CodeBusy, CodeLagging, CodeReadOnly, CodeMoved, CodeConnectionLimit, CodeNoStatement:
		return true
	default:
		return false
	}
}
