package pooler

import (
	"time"

	"pomelofork/core/stmt"
)

// request is an order that is queued or running.
type request struct {
	order *stmt.Order
	// key identifies the order's transaction. Zero means none.
	key      txKey
	deadline time.Time
	// result has room for the one result that is sent.
	result chan stmt.Result
}

// continuesTransaction reports whether the request belongs to a transaction that an
// earlier request opened.
func (r *request) continuesTransaction() bool {
	return r.key != (txKey{}) && r.order.Begin == stmt.OpPass
}
