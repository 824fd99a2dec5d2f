package script

import "github.com/jackc/pgx/v5/pgproto3"

// Step is what follows from one message of the server.
type Step struct {
	// Show are the messages to pass on, in order. The last one may be the
	// server's message itself, which is valid as long as that one.
	Show []pgproto3.BackendMessage
	// Done are the entries that were answered without an error, in order.
	Done []Entry
	// Failed is the error of a hidden query, which isn't passed on.
	Failed *pgproto3.ErrorResponse
}
