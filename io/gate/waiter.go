package gate

import (
	"time"

	"pomelofork/core/fair"
	"pomelofork/core/model"
	"pomelofork/core/route"
)

// waiter is a statement that waits for a slot.
type waiter struct {
	account      model.AccountID
	requirements route.Requirements
	// pinned is the server of an open transaction, or nil.
	pinned *server
	// readOnly is the mode in which the connection will be used.
	readOnly bool
	// pick is the result of the last call of choose for the waiter.
	pick route.Pick
	// grants receives at most one grant. Its capacity is 1, so that the sender doesn't
	// block.
	grants chan grant
}

// grant is a slot and, for a waiter without a pinned server, a connection.
type grant struct {
	item      fair.Item[*waiter]
	pick      route.Pick
	server    *server
	conn      *conn
	grantedAt time.Time
}
