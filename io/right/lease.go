package right

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"pomelofork/core/pace"
	"pomelofork/io/clock"
	"pomelofork/io/store"
	"pomelofork/io/view"
)

// grantedLease is a lease that the store has granted and that no key is attached to yet.
type grantedLease struct {
	id  store.LeaseID
	era uint64
	// until is when the lease may expire.
	until time.Time
	terms pace.Lease
	// short says that it is the short lease of a holder of rights.
	short bool
}

// register obtains a lease and registers this instance under it, once registerAt has passed.
// An instance whose former run held rights registers at once and keeps them, because callers
// need them as soon as they return. It returns whether the instance is registered.
func (mgr *Manager) register(ctx context.Context, now time.Time) bool {
	if _, ok := mgr.config.View.FreshAsOf(); !ok {
		return false
	}
	state := mgr.config.View.State()
	kept := mgr.formerRights(state)
	mgr.scheduleRegistration(now, len(state.Instances), len(kept) > 0)
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if len(kept) == 0 && !mgr.triedReuse && !now.Before(mgr.reuseAt) {
		mgr.triedReuse = true
		if mgr.reuseLease(callCtx, now, state) {
			return true
		}
	}
	if now.Before(mgr.registerAt) {
		return false
	}
	if !mgr.pauseUnless(mgr.obtainLease(callCtx, now, len(state.Instances), len(kept) > 0)) {
		return false
	}
	lease := mgr.unregistered
	kept, revision, err := mgr.writeRegistration(callCtx, state, kept, lease)
	if errors.Is(err, store.ErrNotFound) {
		mgr.unregistered = grantedLease{}
	}
	if err != nil {
		mgr.config.Log.LogAttrs(ctx, slog.LevelWarn, "cannot register this instance", slog.String("error", err.Error()))
		return mgr.pauseUnless(false)
	}
	mgr.unregistered = grantedLease{}
	since := clock.Now()
	if len(kept) > 0 {
		// The former registration was replaced before it ended.
		since = mgr.keptSince(state)
	}
	mgr.recordRegistration(now, since, lease, kept, revision)
	mgr.config.Log.LogAttrs(ctx, slog.LevelInfo, "registered under a lease", slog.Uint64("lease", uint64(lease.id)), slog.Duration("life", lease.terms.TTL),
		slog.Int("kept_rights", len(kept)), slog.Uint64("revision", revision))
	return true
}

// scheduleRegistration chooses when this instance may register, if that isn't chosen yet. An
// instance that keeps rights doesn't wait.
func (mgr *Manager) scheduleRegistration(now time.Time, size int, keepsRights bool) {
	if mgr.registerAt.IsZero() {
		// The instances that are registered, or were until a moment ago, show how many start at
		// the same time as this one.
		spread := rand.N(pace.StartupSpread(size, mgr.config.StoreWrites) + 1)
		mgr.registerAt, mgr.reuseAt = now.Add(spread), now.Add(spread/pace.RegisterWrites)
	}
	if keepsRights {
		mgr.registerAt = now
	}
}

// writeRegistration writes this instance's registration, and the rights to keep, under a lease. It
// returns the rights that are kept and the revision of the entries.
func (mgr *Manager) writeRegistration(ctx context.Context, state *view.State, kept []formerRight, lease grantedLease) ([]formerRight, uint64, error) {
	era := lease.era
	value, err := mgr.registration(lease.terms.TTL, era)
	if err != nil {
		return nil, 0, err
	}
	txn := store.Txn{Era: era, Puts: []store.Put{{Key: mgr.config.View.InstanceKey(mgr.config.Self.ID), Value: value, Lease: lease.id}}}
	revision, err := mgr.keepRights(ctx, txn, kept, lease)
	if errors.Is(err, store.ErrConflict) {
		// Another instance has acquired one of the rights, so it may acquire the others as well.
		kept = nil
		mgr.endFormerLease(ctx, state)
		revision, err = mgr.config.Table.Commit(ctx, txn)
	}
	return kept, revision, err
}

// recordRegistration records that this instance is registered under a lease, without a gap since
// the given time, and holds the rights that it has kept.
func (mgr *Manager) recordRegistration(now, since time.Time, lease grantedLease, kept []formerRight, revision uint64) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	mgr.lease, mgr.leaseEra, mgr.validUntil, mgr.terms, mgr.shortLease = lease.id, lease.era, lease.until, lease.terms, lease.short
	mgr.registeredSince = since
	if len(kept) == 0 {
		return
	}
	mgr.lastUrgent, mgr.reported = now, false
	for _, former := range kept {
		mgr.held[former.spec.Name] = heldRight{revision: revision, since: mgr.startedAt, nonUrgent: former.spec.NonUrgent, kept: true}
	}
}

// registration encodes the registration of this instance under a lease of the given lifetime, for
// an era of the store.
func (mgr *Manager) registration(life time.Duration, era uint64) ([]byte, error) {
	self := mgr.config.Self
	self.LeaseLife = life
	return view.InstanceValue(self, era)
}

// obtainLease obtains a lease to register under, unless one from an earlier attempt is still
// valid. A short one is for an instance that keeps rights. It returns false when the store granted
// none.
func (mgr *Manager) obtainLease(ctx context.Context, now time.Time, size int, short bool) bool {
	if mgr.unregistered.id != 0 && now.Before(mgr.unregistered.until) {
		return true
	}
	terms := leaseTerms(size, short)
	granted, err := mgr.config.Table.Grant(ctx, terms.TTL)
	if err != nil {
		mgr.config.Log.LogAttrs(ctx, slog.LevelWarn, "cannot obtain a lease", slog.String("error", err.Error()))
		return false
	}
	terms.TTL = granted.TTL
	mgr.unregistered = grantedLease{granted.ID, granted.Era, now.Add(granted.TTL), terms, short}
	return true
}

// leaseTerms returns the terms of a lease in a fleet of this size: the short one of a holder of urgent
// rights, or that of any other instance.
func leaseTerms(size int, short bool) pace.Lease {
	if short {
		return pace.HolderLease()
	}
	return pace.MemberLease(size)
}

// replaceLease moves this instance's registration and rights to a new lease, either the short
// one of a holder of urgent rights or the longer one of any other instance. It returns false
// when the registration could not be moved.
func (mgr *Manager) replaceLease(ctx context.Context, now time.Time, shortLease bool) bool {
	terms := leaseTerms(len(mgr.config.View.State().Instances), shortLease)
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	granted, err := mgr.config.Table.Grant(callCtx, terms.TTL)
	if err != nil {
		mgr.config.Log.LogAttrs(ctx, slog.LevelWarn, "cannot obtain a lease to replace the present one", slog.Bool("holder", shortLease), slog.String("error", err.Error()))
		return false
	}
	id, life, era := granted.ID, granted.TTL, granted.Era
	entry, err := mgr.registration(life, era)
	if err != nil {
		mgr.config.Log.LogAttrs(ctx, slog.LevelError, "cannot encode the registration of this instance", slog.String("error", err.Error()))
		return false
	}
	right, err := view.RightValue(mgr.config.Self.ID, era)
	if err != nil {
		mgr.config.Log.LogAttrs(ctx, slog.LevelError, "cannot encode the holder of a right", slog.String("error", err.Error()))
		return false
	}
	names := mgr.heldNames()
	// The registration takes the place of one right in the first transaction.
	first := names[:min(len(names), maxRights-1)]
	put := store.Put{Key: mgr.config.View.InstanceKey(mgr.config.Self.ID), Value: entry, Lease: id}
	if err := mgr.moveRights(callCtx, first, right, granted, put); err != nil {
		mgr.config.Log.LogAttrs(ctx, slog.LevelWarn, "registration and rights not moved to a new lease", slog.Bool("holder", shortLease), slog.String("error", err.Error()))
		return false
	}
	mgr.mu.Lock()
	terms.TTL = life
	mgr.lease, mgr.leaseEra, mgr.validUntil, mgr.terms, mgr.shortLease = id, era, now.Add(life), terms, shortLease
	if shortLease {
		mgr.lastUrgent = now
	}
	mgr.mu.Unlock()
	for more := range slices.Chunk(names[len(first):], maxRights) {
		if err := mgr.moveRights(callCtx, more, right, granted); err != nil {
			// These rights end with the former lease, which is no longer renewed.
			mgr.config.Log.LogAttrs(ctx, slog.LevelWarn, "rights not moved to the new lease; they end with the former lease", slog.Any("rights", more), slog.String("error", err.Error()))
			for _, name := range more {
				mgr.forget(name)
			}
		}
	}
	// Nothing is attached to the former lease any more. It is left to expire.
	mgr.config.Log.LogAttrs(ctx, slog.LevelInfo, "registration and rights moved to a new lease", slog.Bool("holder", shortLease), slog.Uint64("lease", uint64(id)), slog.Duration("life", life))
	return true
}

// moveRights moves held rights to a new lease of this instance, in one transaction with the
// given puts.
func (mgr *Manager) moveRights(ctx context.Context, names []string, value []byte, lease store.Lease, puts ...store.Put) error {
	txn := store.Txn{Era: lease.Era, Puts: puts}
	mgr.mu.Lock()
	for _, name := range names {
		if h, ok := mgr.held[name]; ok {
			mgr.putRight(&txn, name, h.revision, value, lease.ID)
		}
	}
	mgr.mu.Unlock()
	revision, err := mgr.config.Table.Commit(ctx, txn)
	if err != nil {
		return err
	}
	mgr.setRevision(revision, names...)
	return nil
}

// StoreAnswers reports whether the store answers a call of this instance. It renews the lease for
// that, which costs the store less than a read.
func (mgr *Manager) StoreAnswers(ctx context.Context) bool {
	mgr.mu.Lock()
	lease := mgr.lease
	mgr.mu.Unlock()
	var err error
	if lease == 0 {
		// The content of the answer doesn't matter, so a single small entry is requested.
		_, _, err = mgr.config.Table.List(ctx, mgr.config.View.InstanceKey(mgr.config.Self.ID))
	} else {
		err = mgr.config.Table.Renew(ctx, lease)
	}
	return err == nil || errors.Is(err, store.ErrNotFound)
}

// renew renews the lease. It returns false when that failed. If the lease has ended, its rights
// are no longer held.
func (mgr *Manager) renew(ctx context.Context, now time.Time, lease store.LeaseID, terms pace.Lease) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := mgr.config.Table.Renew(callCtx, lease)
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	switch {
	case err == nil:
		mgr.validUntil = now.Add(terms.TTL)
		return true
	case errors.Is(err, store.ErrNotFound):
		mgr.config.Log.LogAttrs(ctx, slog.LevelWarn, "lease has ended and its rights with it", slog.Uint64("lease", uint64(lease)))
		mgr.lease, mgr.validUntil, mgr.reported = 0, time.Time{}, false
		clear(mgr.held)
	default:
		mgr.config.Log.LogAttrs(ctx, slog.LevelWarn, "lease not renewed", slog.Duration("left", mgr.validUntil.Sub(now)), slog.String("error", err.Error()))
	}
	return false
}
