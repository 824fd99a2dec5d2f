package proxy

import (
	"context"
	"time"

	"pomelofork/core/epoch"
	"pomelofork/core/model"
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

// renewPermit asks the monitor of a service's primary whether the appointment is in force, and reports
// whether this instance may use the primary then. Statements that need the answer at the same time share
// one question. Short permits end while a primary isn't used, and its next statement would be refused.
func (n *Node) renewPermit(now time.Time, service model.ServiceID) bool {
	if n.config.Self.PermitLife == 0 {
		return false
	}
	_, _, _ = n.renewals.Do(string(service), func() (any, error) {
		n.guardsMu.Lock()
		use := n.primaryUse(service)
		use.usedAt = now
		due := now.Sub(use.askedAt) >= minEndorseInterval
		if due {
			use.askedAt = now
		}
		n.guardsMu.Unlock()
		if due {
			n.askMonitor(clock.Now(), service)
		}
		return nil, nil
	})
	return n.primaryPermit(service).Valid(clock.Now())
}

// confirmView asks the source of the view whether the view is complete, unless that was done a moment
// ago. Permits that are shorter than the time between two confirmations of the view would end while
// the monitor of a primary doesn't answer. The caller holds guardsMu.
func (n *Node) confirmView(now time.Time) {
	if n.config.Self.PermitLife > 0 {
		n.queryView(now)
	}
}

// queryView asks the source of the view whether the view is complete, unless that was done a moment ago.
// The caller holds guardsMu.
func (n *Node) queryView(now time.Time) {
	if now.Sub(n.confirmingAt) < minEndorseInterval {
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
