package proxy

import (
	"strings"
	"time"

	"pomelofork/core/level"
	"pomelofork/core/plan"
	"pomelofork/core/stmt"
)

const (
	// maxNameShape is the size in bytes of the longest shape that gateways below level.Names can make a name of.
	maxNameShape = 1 << 18
	// maxNamedExecution is the same for the identifier, the shape and the arguments of an execution together. It
	// leaves room for the rest of a message to a server.
	maxNamedExecution = 1<<20 - 128
	// upgradeRetryAfter is the time after which to retry what only gateways of a newer build can run.
	upgradeRetryAfter = time.Second
)

// understands reports whether an instance, as gateway, gives the prepared statement of an order a name that the
// server doesn't take for something else. Gateways below level.Names make the name of the shape.
func understands(inst plan.Instance, order *stmt.Order) bool {
	shape, statement := order.Prepared.Shape, order.Statement
	if statement.Kind != stmt.KindExecute || inst.Level >= level.Names {
		return true
	}
	return len(shape) <= maxNameShape && len(statement.ID)+len(shape)+len(statement.Rest) <= maxNamedExecution && !strings.Contains(shape, " ")
}

// refuseOlderBuild returns the result of an order that the gateway doesn't understand.
func refuseOlderBuild() stmt.Result {
	return stmt.Result{Answer: stmt.Refuse(stmt.CodeBusy, stmt.StateIdle, "the instance with the server's connections runs an older build"), NotSent: true, RetryAfter: upgradeRetryAfter}
}
