package right

import (
	"context"
	"math/rand/v2"
	"time"

	"pomelofork/core/pace"
	"pomelofork/io/clock"
)

// maintainLease obtains, replaces or renews the lease when that is due. renewed is the time of
// the last success. After a failed renewal it is set to a time for which the next renewal is due
// when the pause ends.
func (mgr *Manager) maintainLease(ctx context.Context, now time.Time, renewed *time.Time) {
	size := len(mgr.config.View.State().Instances)
	mgr.mu.Lock()
	lease, era, terms, shortLease := mgr.lease, mgr.leaseEra, mgr.terms, mgr.shortLease
	if mgr.holdsUrgent(size) {
		mgr.lastUrgent = now
	}
	needsShort := now.Sub(mgr.lastUrgent) < shortLeaseLinger
	mgr.mu.Unlock()
	due := now.Sub(*renewed) >= terms.RenewInterval
	// A fleet that has grown needs a lease with a longer renewal interval. Replacing the
	// lease can wait until its next renewal is due.
	outgrown := due && !needsShort && terms.RenewsTooOften(size)
	switch {
	case lease != 0 && era < mgr.config.View.Era():
		if mgr.pauseUnless(mgr.registerAgain(ctx, now)) {
			*renewed = now
		}
	case lease == 0:
		if mgr.register(ctx, now) {
			*renewed = now
		}
	case needsShort != shortLease || outgrown:
		if mgr.pauseUnless(mgr.replaceLease(ctx, now, needsShort)) {
			*renewed = now
		}
	case due:
		if mgr.pauseUnless(mgr.renew(ctx, now, lease, terms)) {
			*renewed = now
		} else {
			*renewed = mgr.pausedUntil.Add(-terms.RenewInterval)
		}
	}
}

// isUrgent reports whether a right needs a holder with a short lease. In a fleet of up to
// pace.MaxShortLeaseFleet instances every right does, since the store can take the renewals.
func isUrgent(nonUrgent bool, size int) bool { return !nonUrgent || size <= pace.MaxShortLeaseFleet }

// holdsUrgent reports whether this instance holds an urgent right. The caller holds mgr.mu.
func (mgr *Manager) holdsUrgent(size int) bool {
	for _, h := range mgr.held {
		if isUrgent(h.nonUrgent, size) {
			return true
		}
	}
	return false
}

// pauseUnless returns ok. If ok is false, it pauses the calls to the store. The pause is random,
// so that the instances don't repeat their calls at the same time: that would keep a store
// overloaded that is overloaded by a fleet whose instances all start at once.
func (mgr *Manager) pauseUnless(ok bool) bool {
	if !ok {
		mean := max(minRetryPause, pace.RetryInterval(len(mgr.config.View.State().Instances)))
		mgr.pausedUntil = clock.Now().Add(mean/2 + rand.N(mean))
	}
	return ok
}
