package stmt

import "pomelofork/core/model"

// Status is a backend server's own view of the replication.
type Status struct {
	// Primary says that the server is the primary of its service.
	Primary bool
	// Term is the term that the server takes for the present one.
	Term model.Term
	// Received is the end of the log that the server has received. A promotion starts from
	// there.
	Received model.Point
	// Held is the term of the command to pause that a replica obeys: it receives nothing. It is zero if
	// the replica receives.
	Held model.Term
}
