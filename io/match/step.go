package match

import "github.com/jackc/pgx/v5/pgproto3"

// Step is what follows from one message of the server: what to pass on and which entries
// were answered.
type Step struct {
	// Show holds the messages to pass on, in order. The last one may be the message
	// that was given to Feed, which is valid only until the next one is read.
	Show []pgproto3.BackendMessage
	// Done holds the entries that were answered without an error, in order.
	Done []Entry
	// Failed is the error of a hidden query, which isn't passed on. It is nil otherwise.
	Failed *pgproto3.ErrorResponse
}
