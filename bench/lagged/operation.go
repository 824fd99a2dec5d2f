package lagged

import (
	"time"

	"pomelofork/core/model"
	"pomelofork/core/stmt"
)

// operation is what a caller wants. It may come back twice.
type operation struct {
	class, returns int
	write          bool
	start          time.Time
	entry          *entry
	// The fields below are those of one statement.
	received time.Time
	tries    int
	excluded map[int]bool
	after    model.Point
	primary  bool
	probed   bool
	// told is the shortest time to return of the servers' queues, or zero.
	told time.Duration
}

// call is one attempt at a server.
type call struct {
	op   *operation
	work time.Duration
	back func(stmt.Result)
}
