package route

import "pomelofork/core/model"

// Pick is the server chosen for a unit of work.
type Pick struct {
	Server model.ServerID
	// Term is the newest term that was known when the server was chosen.
	Term model.Term
	// Primary says that the server was chosen as the primary of Term. Its answers may
	// be passed on only if it is confirmed as primary at a time after the unit began.
	Primary bool
}
