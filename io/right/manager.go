package right

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/pace"
	"pomelofork/core/plan"
	"pomelofork/core/rank"
	"pomelofork/core/trial"
	"pomelofork/io/clock"
	"pomelofork/io/store"
	"pomelofork/io/view"
)

const (
	// shortLeaseLinger is the time for which an instance without urgent rights keeps its short
	// lease, because rights often return while instances start or stop one after the other.
	shortLeaseLinger = 5 * time.Second
	// callTimeout is the time-out of a call to the store.
	callTimeout = time.Second
	// rankDelay is the time that an instance waits for each instance that ranks before it,
	// until it acquires a free right itself. It covers the other's pollInterval, its calls to
	// the store and the delay until the view shows the change.
	rankDelay = 300 * time.Millisecond
	// pollInterval is the longest pause between two checks for free rights.
	pollInterval = 100 * time.Millisecond
	// minRetryPause is the smallest mean pause after a failed call to the store. In a large
	// fleet the mean is pace.RetryInterval, so that the repeated calls don't overload the store.
	minRetryPause = 400 * time.Millisecond
	// rebalanceInterval is the time between two checks for rights that other instances should
	// hold.
	rebalanceInterval = 2 * time.Second
	// fullBatchInterval is the same after a transfer of maxRights rights. An instance that started
	// before all others holds hundreds of rights that it should not, and would take minutes.
	fullBatchInterval = 250 * time.Millisecond
)

// Spec describes a right that some instance should hold.
type Spec struct {
	// Name is the name of the right in the store.
	Name string
	// Domain is the failure domain whose instances are preferred as holders. Empty prefers
	// none.
	Domain model.Domain
	// Avoid is the failure domain whose instances are the last choice as holders. A holder there
	// transfers the right to an instance elsewhere. Empty avoids none.
	Avoid model.Domain
	// NonUrgent says that callers hardly notice when nobody holds the right for some seconds.
	// In a large fleet its holder needs no short lease. It is transferred away from instances
	// that hold far more rights than their share.
	NonUrgent bool
	// SpreadGroup is the name of a group of rights that different instances should hold, or
	// empty. The rights of a group can replace each other, so the failure of one instance
	// should leave the others usable.
	SpreadGroup string
	// SpreadDomains says that the holders of the SpreadGroup should be in different failure domains
	// as far as there are any.
	SpreadDomains bool
}

// preference returns the failure domains that the right prefers and avoids.
func (s Spec) preference() rank.Preference { return rank.Preference{Domain: s.Domain, Avoid: s.Avoid} }

// Config holds the settings and dependencies of a Manager.
type Config struct {
	// Table is the platform's store.
	Table store.Table
	// View is the instance's view of the store's content.
	View *view.View
	// Self is this instance, as it is to be registered.
	Self plan.Instance
	// StoreWrites is the number of writes a second that the store accepts from all instances
	// together. Zero means that it isn't known.
	StoreWrites float64
	// Dependent returns further entries to write with a right that is written again after a restore
	// of the store, given the era. It may be nil.
	Dependent func(name string, era uint64) []store.Put
	// Wanted returns the rights that some instance should hold.
	Wanted func(*view.State) []Spec
	// Usable reports whether an instance may be given rights. Nil means that every one may.
	Usable func(plan.Instance) bool
	// Changed is called after this instance has acquired, received or lost rights, with the
	// sorted names of all that it holds. It may be nil.
	Changed func(held []string)
	// Disabled are the mechanisms that are switched off.
	Disabled trial.Disabled
	// Log receives a record of each right that is acquired, transferred or lost, and of each
	// failed call.
	Log *slog.Logger
}

// Manager obtains and renews this instance's lease, and acquires and transfers its rights. Its
// methods are safe for concurrent use.
type Manager struct {
	config Config
	// startedAt is when this run of the instance began.
	startedAt time.Time

	mu sync.Mutex
	// validUntil is when the lease may expire.
	validUntil time.Time
	// registeredSince is the time since which this instance has been registered without a gap.
	registeredSince time.Time
	// lease is zero when there is none.
	lease store.LeaseID
	// leaseEra is the era of the store in which the lease was granted.
	leaseEra uint64
	// shortLease says that the lease is the short one of a holder of urgent rights.
	shortLease bool
	// terms are the lifetime and the renewal interval of the lease.
	terms pace.Lease
	// lastUrgent is when an urgent right was last held or about to be acquired.
	lastUrgent time.Time
	// held are the rights that this instance holds while its lease is valid, by name.
	held map[string]heldRight
	// reported says that Config.Changed was called after the last change of held.
	reported bool
	// leaving says that Leave was called.
	leaving bool
	// wake ends the pause between two checks of run.
	wake chan struct{}

	// Only the goroutine of run uses the fields below.

	// free are the rights that nobody holds according to the view, by name.
	free map[string]freeRight
	// wanted are the rights that some instance should hold, by name.
	wanted map[string]Spec
	// unwritableLogged are the rights of which the log says that nobody can hold them.
	unwritableLogged map[string]bool
	// comparedCounts and comparedLease identify the state and the lease that free was computed
	// from.
	comparedCounts view.ChangeCounts
	comparedLease  store.LeaseID
	// pausedUntil is when the next call to the store may be made.
	pausedUntil time.Time
	// unregistered is a granted lease under which this instance isn't registered yet.
	unregistered grantedLease
	// registerAt is when this instance may register. It is zero until it has been chosen.
	registerAt time.Time
	// reuseAt is when it may register under the lease of its former run, which takes fewer writes.
	// triedReuse says that it has tried.
	reuseAt    time.Time
	triedReuse bool
	// rebalanceAt is when rebalance runs next.
	rebalanceAt time.Time
	// recheckAt is when the view is compared again after a transfer whose answer was lost. Zero
	// means that there was none.
	recheckAt time.Time
}

// freeRight is a right that nobody holds, and when this instance found it free or last failed
// to acquire it.
type freeRight struct {
	spec  Spec
	since time.Time
	// misplaced says that the right was transferred to this instance, under a lease that it has
	// replaced since. Nobody else may use it, and the entry ends with that lease.
	misplaced bool
	// revision is that of a misplaced right's entry, as of when it was found to name this instance.
	// Another instance may have acquired the right since.
	revision uint64
}

// heldRight is a right that this instance holds.
type heldRight struct {
	// revision is the revision of the right's entry in the store.
	revision uint64
	// since is the time from which on no other instance has held the right.
	since time.Time
	// nonUrgent is the NonUrgent of the right's Spec.
	nonUrgent bool
	// kept says that the former run of this instance held the right until it ended.
	kept bool
}

// NewManager returns a Manager that obtains a lease and acquires rights until the context ends.
func NewManager(ctx context.Context, c Config) *Manager {
	mgr := &Manager{config: c, startedAt: clock.Now(), held: map[string]heldRight{}, free: map[string]freeRight{}, wake: make(chan struct{}, 1)}
	go func() { mgr.run(ctx) }()
	return mgr
}

// Holds reports whether this instance certainly holds a right at now. It returns since when no
// other instance has held it, and the revision of the last write of the right, which serves as
// the fencing token against former holders.
func (mgr *Manager) Holds(now time.Time, name string) (since time.Time, fence uint64, ok bool) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	h, ok := mgr.held[name]
	if !ok || !now.Before(mgr.validUntil) {
		return time.Time{}, 0, false
	}
	return h.since, h.revision, true
}

// Kept reports whether this instance holds a right that its former run held until it ended.
func (mgr *Manager) Kept(name string) bool {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	return mgr.held[name].kept
}

// Registration returns the time since which this instance has been registered without a gap, and
// the time until which it certainly is. Both are zero while it isn't registered.
func (mgr *Manager) Registration() (since, until time.Time) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	return mgr.registeredSince, mgr.validUntil
}

// LeaseValid reports whether this instance has a lease that has certainly not expired.
func (mgr *Manager) LeaseValid(now time.Time) bool {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	return now.Before(mgr.validUntil)
}

// Leave transfers all rights to the instances that rank next, and ends the lease. From then on
// the Manager acquires nothing. This instance may use its rights until the store has answered
// the transfer. Otherwise nobody could use them while a slow store carries it out and then
// reports it to the recipients.
func (mgr *Manager) Leave(ctx context.Context) {
	mgr.mu.Lock()
	mgr.leaving = true
	lease := mgr.lease
	mgr.mu.Unlock()
	if lease == 0 {
		return
	}
	mgr.handOverAll(ctx)
	mgr.mu.Lock()
	clear(mgr.held)
	mgr.validUntil, mgr.reported = time.Time{}, false
	mgr.mu.Unlock()
	mgr.reportHeld()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := mgr.config.Table.End(callCtx, lease); err != nil {
		mgr.config.Log.LogAttrs(ctx, slog.LevelWarn, "lease not ended; it expires by itself", slog.String("error", err.Error()))
		return
	}
	mgr.config.Log.LogAttrs(ctx, slog.LevelInfo, "lease ended and remaining rights released")
}

// run maintains the lease, acquires free rights and rebalances the held ones until the context
// ends or Leave is called.
func (mgr *Manager) run(ctx context.Context) {
	var renewed time.Time
	for ctx.Err() == nil {
		now := clock.Now()
		if mgr.stopped() {
			return
		}
		if !now.Before(mgr.pausedUntil) {
			mgr.maintainLease(ctx, now, &renewed)
		}
		if now := clock.Now(); !now.Before(mgr.pausedUntil) {
			mgr.acquireFree(ctx, now)
			mgr.rebalance(ctx, now)
		}
		mgr.reportHeld()
		timer := time.NewTimer(pollInterval)
		select {
		case <-ctx.Done():
		case <-mgr.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// stopped reports whether Leave was called.
func (mgr *Manager) stopped() bool {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	return mgr.leaving
}

// reportHeld calls Config.Changed if the held rights have changed since the last call.
func (mgr *Manager) reportHeld() {
	mgr.mu.Lock()
	reported := mgr.reported
	mgr.reported = true
	mgr.mu.Unlock()
	if !reported && mgr.config.Changed != nil {
		mgr.config.Changed(mgr.heldNames())
	}
}

// heldNames returns the sorted names of the rights that this instance held at the last update.
func (mgr *Manager) heldNames() []string {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	return slices.Sorted(maps.Keys(mgr.held))
}

// Wake starts a check of the lease and for free rights at once. It doesn't block.
func (mgr *Manager) Wake() {
	select {
	case mgr.wake <- struct{}{}:
	default:
	}
}
