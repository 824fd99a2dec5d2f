package proxy

import (
	"context"
	"time"

	"pomelofork/core/epoch"
	"pomelofork/core/trial"
	"pomelofork/io/clock"
)

const (
	// confirmViewTimeout bounds a query that confirms the view beyond its own ones. It covers one by a
	// watcher for this instance.
	confirmViewTimeout = 200 * time.Millisecond
	// confirmForFollowerTimeout bounds a query to the store for a follower: some tens of round trips.
	confirmForFollowerTimeout = 100 * time.Millisecond
)

// permitLife returns the life of this instance's permits to use primaries, or zero for the usual one.
func permitLife(c Config) time.Duration {
	if c.ToleratedDomains > 0 && !c.Disabled.Has(trial.ShortPermits) {
		return epoch.ShortPermitLife
	}
	return 0
}

// confirmView asks the source of the view whether the view is complete, unless that was done a moment
// ago. Permits that are shorter than the time between two confirmations of the view would end while
// the monitor of a primary doesn't answer. The caller holds guardsMu.
func (n *Node) confirmView(now time.Time) {
	if n.config.Self.PermitLife == 0 || now.Sub(n.confirmingAt) < minEndorseInterval {
		return
	}
	n.confirmingAt = now
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), confirmViewTimeout)
		defer cancel()
		n.view.Confirm(ctx)
	}()
}

// confirmForFollower confirms the view for a follower that needs a recent confirmation at once.
// Questions of several followers share one query.
func (n *Node) confirmForFollower() {
	now := clock.Now()
	if confirmed, ok := n.view.FreshAsOf(); ok && now.Sub(confirmed) < minEndorseInterval {
		return
	}
	n.guardsMu.Lock()
	due := now.Sub(n.confirmingAt) >= minEndorseInterval
	if due {
		n.confirmingAt = now
	}
	n.guardsMu.Unlock()
	if due {
		ctx, cancel := context.WithTimeout(context.Background(), confirmForFollowerTimeout)
		defer cancel()
		n.view.Confirm(ctx)
	}
}
