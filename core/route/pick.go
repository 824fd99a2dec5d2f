package route

import "pomelofork/core/model"

// Pick is the server that a unit of work gets.
type Pick struct {
	// Server is the backend server.
	Server model.ServerID
	// Term is the newest term that was known when the server was picked.
	Term model.Term
	// Primary says that the server was picked as the primary of Term. Its answers
	// may be passed on only when the primary was confirmed after the unit began.
	Primary bool
}
