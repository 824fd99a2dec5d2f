package pgsim

// fault is an error that goes to the client with its SQLSTATE.
type fault struct{ code, text string }

// Error implements error.
func (f fault) Error() string { return f.code + ": " + f.text }

var (
	duplicate    = fault{"23505", "request is already recorded"}
	canceled     = fault{"57014", "statement canceled by request"}
	txAborted    = fault{"25P02", "transaction is aborted"}
	readOnly     = fault{"25006", "transaction is read only"}
	unknown      = fault{"42601", "statement not known to the stand-in"}
	noStatement  = fault{"26000", "no such prepared statement"}
	noPortal     = fault{"34000", "no such portal"}
	tooMany      = fault{"53300", "too many connections"}
	wrongUser    = fault{"28P01", "wrong user or password"}
	badParameter = fault{"08P01", "parameter missing or malformed"}
)
