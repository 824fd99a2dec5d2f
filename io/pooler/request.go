package pooler

import (
	"time"

	"pomelofork/core/stmt"
	"pomelofork/core/wait"
)

// request is an order that is queued or running.
type request struct {
	order *stmt.Order
	// key identifies the order's transaction. Zero means none.
	key txKey
	// received is when the request came to the pool.
	received time.Time
	deadline time.Time
	// gone is closed when the entry that sent the order can't receive the answer any more. It is nil for orders of
	// this instance.
	gone <-chan struct{}
	// item is the request as the queue returned it, when it starts.
	item wait.Item[*request]
	// result has room for the one result that is sent.
	result chan stmt.Result
}

// continuesTransaction reports whether the request belongs to a transaction that an
// earlier request opened.
func (r *request) continuesTransaction() bool {
	return r.key != (txKey{}) && r.order.Begin == stmt.OpPass
}

// size returns the size of what the caller sent.
func (r *request) size() int {
	o := r.order
	size := len(o.Statement.ID) + len(o.Statement.Text) + len(o.Statement.Rest) + len(o.Prepared.Shape)
	for _, v := range o.Values {
		size += len(v.Name) + len(v.Content)
	}
	return size
}
