package proxy

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/quota"
	"pomelofork/core/stmt"
	"pomelofork/io/clock"
	"pomelofork/io/logs"
	"pomelofork/io/relay"
)

// Run implements entry.Fleet. An order runs at the first instance, in the order of
// holders, that can be reached and has not recently failed to reach the server. A
// transaction stays at the instance where it began.
func (n *Node) Run(now time.Time, server plan.Server, order *stmt.Order) stmt.Result {
	result := stmt.Result{Answer: stmt.Refuse(stmt.CodeConnectionLimit, stmt.StateIdle, "no instance reaches the server"), NotSent: true}
	if order.Unit != 0 && order.Begin == stmt.OpPass {
		n.mu.Lock()
		instance, ok := n.transactions[order.Unit]
		n.mu.Unlock()
		if !ok {
			return stmt.Result{Answer: stmt.Refuse(stmt.CodeAborted, stmt.StateIdle, "transaction is gone"), NotSent: true}
		}
		if !n.mayHaveText(order, instance) {
			return stmt.Result{Answer: stmt.Refuse(stmt.CodeAborted, stmt.StateIdle, awayText), NotSent: true}
		}
		result, _ := n.runAt(now, instance, order)
		n.forgetTransaction(order, result)
		return result
	}
	tried := 0
	holders := n.holders(server)
	if order.NeedsPrimary() {
		holders = primaryHolders(holders)
	}
	holders = n.outages.suspectedLast(n.homeHolders(order, holders))
	for _, inst := range holders {
		if (inst.ID != n.config.Self.ID && !n.peer(inst).Reachable(now)) || n.pathFailedRecently(now, inst, server.ID) {
			continue
		}
		if tried++; tried > maxInstancesTried {
			break
		}
		got, ok := n.runAt(now, inst, order)
		if ok && got.NotSent && got.Answer.Code == stmt.CodeConnectionLost {
			n.markPathFailed(now, inst, server.ID)
			result = got
			if order.AnyServerMayRun() {
				// Another server runs the read sooner than another instance finds out whether
				// this one answers.
				return got
			}
			continue
		}
		if ok {
			n.recordTransaction(order, inst, got)
			return got
		}
		result = got
	}
	// All instances were passed over, so this one tries to run the order itself.
	if tried == 0 && !n.isHome(order) {
		return refuseAway()
	}
	if tried == 0 {
		result, _ = n.runAt(now, n.config.Self, order)
		n.recordTransaction(order, n.config.Self, result)
	}
	return result
}

// serverPath is the path from an instance to a server.
type serverPath struct {
	instance model.InstanceID
	server   model.ServerID
}

// pathFailedRecently reports whether the instance failed to reach the server within the
// last pathFailurePause.
func (n *Node) pathFailedRecently(now time.Time, inst plan.Instance, server model.ServerID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return now.Before(n.pathRetryAt[serverPath{inst.ID, server}])
}

// markPathFailed records that the instance failed to reach the server, so that others
// are tried first.
func (n *Node) markPathFailed(now time.Time, inst plan.Instance, server model.ServerID) {
	n.config.Log.LogAttrs(context.Background(), slog.LevelInfo, "instance failed to reach a server, others are tried first", slog.String("holder", string(inst.ID)), slog.String("server", string(server)))
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.DeleteFunc(n.pathRetryAt, func(_ serverPath, until time.Time) bool { return !now.Before(until) })
	n.pathRetryAt[serverPath{inst.ID, server}] = now.Add(pathFailurePause)
}

// recordTransaction records the instance at which the order's transaction runs.
func (n *Node) recordTransaction(order *stmt.Order, inst plan.Instance, result stmt.Result) {
	if order.Unit == 0 || result.NotSent {
		return
	}
	n.mu.Lock()
	n.transactions[order.Unit] = inst
	n.mu.Unlock()
	n.forgetTransaction(order, result)
}

// forgetTransaction forgets the order's transaction if the order has ended it.
func (n *Node) forgetTransaction(order *stmt.Order, result stmt.Result) {
	kind := order.Statement.Kind
	if kind != stmt.KindRollback && (kind != stmt.KindCommit || result.Answer.Code != stmt.CodeDone) {
		return
	}
	n.mu.Lock()
	delete(n.transactions, order.Unit)
	n.mu.Unlock()
}

// runAt runs an order at one instance. It returns false if the instance was not reached,
// so that another may be tried.
func (n *Node) runAt(now time.Time, inst plan.Instance, order *stmt.Order) (stmt.Result, bool) {
	if inst.ID == n.config.Self.ID {
		return n.runLocally(now, order), true
	}
	if !understands(inst, order) {
		return refuseOlderBuild(), false
	}
	response, err := n.peer(inst).Run(now, &relay.RunRequest{Order: *order}, order.Timeout+callSlack)
	switch {
	case err == nil:
		return response.Result, true
	case errors.Is(err, relay.ErrTooLarge):
		return refuseTooLarge(), true
	case errors.Is(err, relay.ErrNotSent):
		n.endLeaseIfRefused(inst, err)
		return stmt.Result{Answer: stmt.Refuse(stmt.CodeConnectionLimit, stmt.StateIdle, "instance not reached"), NotSent: true}, false
	default:
		n.config.Log.LogAttrs(context.Background(), slog.LevelWarn, "instance did not answer an order, which may have run", slog.String("request", logs.Shortened(order.Statement.ID)),
			slog.String("instance", string(inst.ID)), slog.String("server", string(order.Server)), slog.String("error", err.Error()))
		return stmt.Result{Answer: stmt.Refuse(stmt.CodeConnectionLost, stmt.StateIdle, "no answer of the instance in between")}, true
	}
}

// refuseTooLarge returns the result of an order that is over the limit of messages between instances. No
// other instance would get it either.
func refuseTooLarge() stmt.Result {
	return stmt.Result{Answer: stmt.Refuse(stmt.CodeTooLarge, stmt.StateIdle, "statement and values of its session are too large to be passed on"), NotSent: true}
}

// runLocally runs an order of this instance through its connections to the server.
func (n *Node) runLocally(now time.Time, order *stmt.Order) stmt.Result {
	return n.runFor(now, order, nil)
}

// runFor does the same for an order of any instance. gone is closed when that can't get the answer any more.
func (n *Node) runFor(now time.Time, order *stmt.Order, gone <-chan struct{}) stmt.Result {
	pool := n.pool(order.Server)
	if pool == nil {
		return stmt.Result{Answer: stmt.Refuse(stmt.CodeMoved, stmt.StateIdle, "server not known"), NotSent: true}
	}
	if !n.homes().Allows(order.Homes, n.serverDomain(pool)) {
		return refuseAway()
	}
	if order.NeedsPrimary() && !n.mayHoldPrimary(now, pool.Server()) {
		// The next instance in the order of holders may.
		return stmt.Result{Answer: stmt.Refuse(stmt.CodeConnectionLost, stmt.StateIdle, "instance may not use the primary"), NotSent: true}
	}
	if n.passesTransactionOn(now, order, pool.Server()) {
		return stmt.Result{Answer: stmt.Refuse(stmt.CodeConnectionLost, stmt.StateIdle, "instance is shutting down"), NotSent: true}
	}
	return pool.RunFor(now, order, gone)
}

const (
	// restartGrace is the time after its own start for which an instance doesn't end the leases
	// of others. When a whole fleet starts, those that aren't up yet keep their rights a moment
	// later.
	restartGrace = 2 * time.Second
	// endLeaseTimeout bounds the calls to the store that end the lease of another instance.
	endLeaseTimeout = 2 * time.Second
)

// endLeaseIfRefused ends the lease of an instance if the error says that no process
// listens at its address, so that its rights become free at once.
func (n *Node) endLeaseIfRefused(inst plan.Instance, err error) {
	if !errors.Is(err, relay.ErrConnRefused) || clock.Now().Sub(n.startedAt) < restartGrace {
		return
	}
	n.mu.Lock()
	started := n.endedLeases[inst.Lease]
	n.endedLeases[inst.Lease] = true
	n.mu.Unlock()
	if started {
		return
	}
	n.config.Log.LogAttrs(context.Background(), slog.LevelWarn, "no process at the address of an instance, ending its lease", slog.String("instance", string(inst.ID)), slog.Uint64("lease", inst.Lease))
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), endLeaseTimeout)
		defer cancel()
		if err := n.rights.EndLease(ctx, inst); err != nil {
			n.config.Log.LogAttrs(ctx, slog.LevelWarn, "failed to end the lease of an instance", slog.String("instance", string(inst.ID)), slog.String("error", err.Error()))
			n.mu.Lock()
			delete(n.endedLeases, inst.Lease)
			n.mu.Unlock()
		}
	}()
}

// handler answers the calls of other instances.
type handler struct{ node *Node }

// Run implements relay.Handler.
func (h *handler) Run(args *relay.RunRequest, result *relay.RunResponse) error {
	if !h.node.isHome(&args.Order) {
		result.Result = refuseAway()
		return nil
	}
	result.Result = h.node.runFor(clock.Now(), &args.Order, args.Gone())
	result.Limit(&args.Order)
	return nil
}

// Draw implements relay.Handler.
func (h *handler) Draw(args *relay.DrawRequest, result *relay.DrawResponse) error {
	var grant quota.Grant
	grant, result.Holds = h.node.drawLocally(clock.Now(), args)
	result.Tokens, result.Delay, result.RetryAfter = grant.Tokens, grant.Delay, grant.RetryAfter
	return nil
}
