package proxy

import (
	"context"
	"log/slog"
	"time"

	"pomelofork/core/home"
	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/stmt"
	"pomelofork/io/pooler"
	"pomelofork/io/view"
)

const (
	// awayText says why an order is refused that may not run where it would have to.
	awayText = "no instance or server in an allowed region"
	// awayRetryAfter is the time after which a caller is told to retry then: about the time in which
	// another instance becomes the gateway.
	awayRetryAfter = 500 * time.Millisecond
)

// refuseAway returns the result of an order that may not run where it would have to.
func refuseAway() stmt.Result {
	return stmt.Result{Answer: stmt.Refuse(stmt.CodeMoved, stmt.StateIdle, awayText), NotSent: true, RetryAfter: awayRetryAfter}
}

// homes tells the regions of failure domains.
func (n *Node) homes() home.Map { return home.NewMap(n.config.Regions) }

// isHome reports whether this instance is in a region in which the order may run.
func (n *Node) isHome(order *stmt.Order) bool {
	return n.homes().Allows(order.Homes, n.config.Self.Domain)
}

// mayHaveText reports whether an instance may get the order: it is in an allowed region, or the caller
// is connected to it.
func (n *Node) mayHaveText(order *stmt.Order, inst plan.Instance) bool {
	return inst.ID == n.config.Self.ID || n.homes().Allows(order.Homes, inst.Domain)
}

// homeHolders returns those of a server's holders that may run the order, in the same order. This
// instance runs it outside of the allowed regions only if it is one of the first holders anyway: if all
// instances elsewhere opened connections, the server would run out of them.
func (n *Node) homeHolders(order *stmt.Order, holders []plan.Instance) []plan.Instance {
	if len(order.Homes) == 0 {
		return holders
	}
	homes := n.homes()
	var allowed []plan.Instance
	for i, inst := range holders {
		if homes.Allows(order.Homes, inst.Domain) || (inst.ID == n.config.Self.ID && i < maxInstancesTried) {
			allowed = append(allowed, inst)
		}
	}
	return allowed
}

// serverDomain returns the failure domain of a pool's server as last known.
func (n *Node) serverDomain(pool *pooler.Pool) model.Domain {
	server := pool.Server()
	if present, ok := n.view.State().Servers[server.ID]; ok {
		server = present
	}
	return server.Domain
}

// logUnmatchedHomes logs the homes of a new configuration to which no failure domain belongs. Statements
// that may run only there are refused. The caller holds the lock.
func (n *Node) logUnmatchedHomes(s *view.State) {
	if s.Plan == nil || s.Plan.Version() == n.homesLogged {
		return
	}
	n.homesLogged = s.Plan.Version()
	for _, region := range n.homes().Unmatched(s.Plan.Homes()) {
		n.config.Log.LogAttrs(context.Background(), slog.LevelWarn, "no failure domain belongs to a region to which routes or accounts are restricted",
			slog.String("region", string(region)), slog.Uint64("config_version", s.Plan.Version()))
	}
}
