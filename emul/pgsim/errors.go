package pgsim

// sqlError is an error that is sent to the client with its SQLSTATE.
type sqlError struct{ sqlstate, message string }

// Error implements error.
func (e sqlError) Error() string { return e.sqlstate + ": " + e.message }

var (
	errDuplicateRequest   = sqlError{"23505", "request is already recorded"}
	errCanceled           = sqlError{"57014", "statement canceled by request"}
	errTxAborted          = sqlError{"25P02", "transaction is aborted"}
	errReadOnlyTx         = sqlError{"25006", "transaction is read only"}
	errUnknownStatement   = sqlError{"42601", "statement not known to the stand-in"}
	errNoStatement        = sqlError{"26000", "no such prepared statement"}
	errStatementExists    = sqlError{"42P05", "prepared statement already exists"}
	errNoPortal           = sqlError{"34000", "no such portal"}
	errTooManyConnections = sqlError{"53300", "too many connections"}
	errWrongLogin         = sqlError{"28P01", "wrong user or password"}
	errBadParameter       = sqlError{"08P01", "parameter missing or malformed"}
)
