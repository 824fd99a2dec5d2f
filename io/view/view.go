package view

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/pace"
	"pomelofork/core/plan"
	"pomelofork/io/clock"
	"pomelofork/io/store"
)

const (
	// watchWait is the longest time that one watch waits for a change. Without changes an
	// instance makes one call to the store in that time. A longer wait would let the last
	// confirmation that the configuration is the newest become older.
	watchWait = time.Second
	// watchSlack is the time beyond watchWait after which a watch times out. The store answers
	// within some hundred milliseconds even when it is slow.
	watchSlack = 500 * time.Millisecond
	// checkTimeout is the time-out of the query without a wait that follows a watch that timed
	// out. The connection of a watch may fail without an error, while the source still answers.
	checkTimeout = 400 * time.Millisecond
	// listTimeout is the time-out of a query for the whole content, which takes several pages.
	listTimeout = 1900 * time.Millisecond
	// retryPause and maxRetryPause are the shortest and the longest pause after a failed call.
	// The pause doubles with each failure, because rejected calls load the store as well.
	retryPause    = 100 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
	// expiryGrace is the time after a failed call for which a server that is not draining is
	// kept although its entry was removed. An outage of the store may have let the entry expire,
	// and running servers write theirs again within about two seconds of the store's return.
	expiryGrace = 2200 * time.Millisecond
)

// Decoder decodes the platform's entries in the store. Package platform implements it.
type Decoder interface {
	// Plan decodes the configuration. It returns false if the key isn't the configuration's,
	// and an error if the value is invalid.
	Plan(entry store.Entry) (*plan.Plan, bool, error)
	// Server decodes a backend server's entry. It returns false if the key isn't one of a
	// server, and an error if the value is invalid.
	Server(entry store.Entry) (plan.Server, bool, error)
	// ServerID returns the server whose entry has the key, whether or not the entry exists. It
	// returns false if the key isn't one of a server.
	ServerID(key string) (model.ServerID, bool)
	// ServerKey returns the key of a server's entry.
	ServerKey(id model.ServerID) string
	// Evacuation returns the failure domain that is evacuated as long as an entry with the key
	// exists. It returns false if the key isn't one of an evacuation.
	Evacuation(key string) (model.Domain, bool)
	// EvacuationKey returns the key of the entry that evacuates a failure domain.
	EvacuationKey(domain model.Domain) string
}

// Config holds the settings and dependencies of a View.
type Config struct {
	// OwnPrefix is the prefix of the keys under which the instances write their registrations
	// and rights.
	OwnPrefix string
	// Decoder decodes the platform's entries.
	Decoder Decoder
	// Established says that the fleet ran before this process started.
	Established bool
	// Sources returns the sources to query, the preferred one first. It returns at least one.
	Sources func(*State) []Source
	// Changed is called with the new state after each change, while the View is locked against
	// further changes.
	Changed func(State)
	// Log receives a record of each change and of each failing source.
	Log *slog.Logger
}

// View is a copy of the store's content that is kept up to date until its context ends. Its
// methods are safe for concurrent use.
type View struct {
	config Config
	state  atomic.Pointer[State]
	// freshAsOf is the time as of which the state is known to be complete, in Unix nanoseconds
	// of package clock. Zero means never.
	freshAsOf atomic.Int64
	// completeAsOf is the same, but doesn't count what an instance may not have written again since
	// the store was restored.
	completeAsOf atomic.Int64
	// revision is the revision up to which the state has every change.
	revision atomic.Uint64
	// settled is the result of Settled.
	settled atomic.Bool

	mu sync.Mutex
	// lastFailure is when a query last failed.
	lastFailure time.Time
	restore     restore
	feed        feed
	odd         oddEntries
	// lastSource is the source that answered last.
	lastSource Source
}

// New returns a View and starts to keep it up to date.
func New(ctx context.Context, c Config) *View {
	v := &View{config: c, feed: newFeed()}
	v.state.Store(&State{})
	v.settled.Store(true)
	go func() { v.watch(ctx) }()
	return v
}

// State returns the present state, which is empty before the first update. It is never nil.
func (v *View) State() *State { return v.state.Load() }

// FreshAsOf returns the time as of which the state is known to contain every change that the
// store had acknowledged, by package clock. It returns false before the first update.
func (v *View) FreshAsOf() (time.Time, bool) {
	at := v.freshAsOf.Load()
	return time.Unix(0, at), at != 0
}

// CompleteAsOf returns the time as of which the state is known to contain every entry of instances
// too: after the store was restored from an older copy, it stays until Settled. It returns false
// before the first update.
func (v *View) CompleteAsOf() (time.Time, bool) {
	at := v.completeAsOf.Load()
	return time.Unix(0, at), at != 0
}

// Revision returns the store's revision up to which the state has every change, and what
// Config.Changed does with these changes is done. It is zero before the first update.
func (v *View) Revision() uint64 { return v.revision.Load() }

// watch queries one source after the other until the context ends, and applies their updates.
func (v *View) watch(ctx context.Context) {
	after, synced := uint64(0), false
	retry := retryPause
	picker := newPicker()
	for ctx.Err() == nil {
		source := picker.pick(clock.Now(), v.config.Sources(v.State()))
		update, sent, err := v.fetch(ctx, source, Query{After: after, All: !synced, Wait: watchWait})
		if synced && errors.Is(err, store.ErrCompacted) {
			// The source has not failed: it only dropped the history. The next query asks the
			// same source for its whole content.
			v.config.Log.LogAttrs(ctx, slog.LevelInfo, "source no longer has the changes; requesting its whole content", slog.String("source", source.Name()), slog.Uint64("after", after))
			synced = false
			continue
		}
		if err != nil {
			if picker.recordFailure(clock.Now(), source, err) {
				v.config.Log.LogAttrs(ctx, slog.LevelWarn, "configuration confirmation failed", slog.String("source", source.Name()), slog.String("error", err.Error()))
			}
			v.mu.Lock()
			v.lastFailure = clock.Now()
			v.mu.Unlock()
			pause(ctx, retry)
			retry = min(2*retry, maxRetryPause)
			continue
		}
		retry = retryPause
		v.mu.Lock()
		v.lastSource = source
		v.mu.Unlock()
		if picker.recordAnswer(clock.Now(), source, update.Age) {
			v.config.Log.LogAttrs(ctx, slog.LevelInfo, "configuration confirmation received", slog.String("source", source.Name()), slog.Duration("age", update.Age))
		}
		// A peer may be behind the source that was used before. Its update is not applied
		// then, but its confirmation counts, since the state here already contains all that
		// the peer has.
		if !synced || update.Revision >= after {
			v.applyUpdate(ctx, update)
			after, synced = update.Revision, true
			v.revision.Store(after)
		}
		if store.Era(update.Revision) == store.Era(after) {
			v.confirm(clock.Now(), sent.Add(update.Waited-update.Age))
		}
		if len(update.Entries) > 0 {
			// Changes often come in groups. One more call for each would load the store.
			pause(ctx, pace.WatchPause(len(v.State().Instances)))
		}
	}
}

// pause waits for d or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// applyUpdate applies an update to the state and to the feed.
func (v *View) applyUpdate(ctx context.Context, update Update) {
	v.mu.Lock()
	defer v.mu.Unlock()
	former := v.feed.revision
	v.feed.add(update)
	if len(update.Entries) == 0 && !update.All {
		return
	}
	now := clock.Now()
	b := newStateBuilder(now, v.state.Load())
	b.era = store.Era(update.Revision)
	b.restored = former != 0 && b.era > store.Era(former)
	if b.restored {
		v.beginEra(ctx, now, b)
	}
	b.listing = update.All
	present := map[string]bool{}
	for _, e := range update.Entries {
		present[e.Key] = !e.Removed
		v.applyEntry(ctx, now, b, e)
		v.forgetOdd(e)
	}
	if update.All {
		v.removeMissing(ctx, now, b, present)
	}
	if v.mayBeRestored(b) {
		v.beginEra(ctx, now, b)
	}
	v.logEvacuations(ctx, b)
	if b.initial {
		v.config.Log.LogAttrs(ctx, slog.LevelInfo, "initial content read", slog.Int("servers", len(b.next.Servers)), slog.Int("instances", len(b.next.Instances)),
			slog.Int("rights", len(b.next.Rights)), slog.Uint64("revision", update.Revision))
	}
	v.state.Store(&b.next)
	v.config.Changed(b.next)
}

// logChange logs a change of one entry. The initial content is logged in one line instead, since
// it would be thousands of lines in a large fleet.
func (v *View) logChange(ctx context.Context, b *stateBuilder, message string, attrs ...slog.Attr) {
	if !b.initial {
		v.config.Log.LogAttrs(ctx, slog.LevelInfo, message, attrs...)
	}
}

// applyEntry applies the change of one entry.
func (v *View) applyEntry(ctx context.Context, now time.Time, b *stateBuilder, e store.Entry) {
	if v.applyOwnEntry(ctx, b, e) {
		return
	}
	if domain, ok := v.config.Decoder.Evacuation(e.Key); ok {
		v.applyEvacuation(ctx, now, b, domain, e)
		return
	}
	if id, ok := v.config.Decoder.ServerID(e.Key); ok {
		if e.Removed {
			v.removeServer(ctx, now, b, id)
			return
		}
		server, err := v.decodeServer(e)
		if err != nil {
			v.noteOdd(ctx, slog.LevelWarn, e, "cannot decode the entry of a backend server; it is not used", err, slog.String("server", string(id)))
			if known, ok := b.next.Servers[id]; ok {
				v.rememberGone(now, known)
				b.removeServer(id)
			}
			return
		}
		if b.restored && v.isOutdated(b, server) {
			v.config.Log.LogAttrs(ctx, slog.LevelInfo, "entry of a backend server in the restored store is older than the known one; it is passed over", slog.String("server", string(id)))
			return
		}
		server.ReportsPrimary = server.Primary
		server = b.next.Appointments[server.Service].Apply(server)
		if previous, ok := b.next.Servers[id]; ok && previous.Draining {
			server.DrainingSince = previous.DrainingSince
		} else if server.Draining {
			server.DrainingSince = v.drainingSince(now, server)
		}
		server.EvacuatedSince = b.next.Evacuations[server.Domain].Since
		server.ColdUntil = v.coldUntil(ctx, b, server)
		if previous, ok := b.next.Servers[id]; !ok || previous.Draining != server.Draining || previous.ReportsPrimary != server.ReportsPrimary || previous.Address != server.Address {
			v.logChange(ctx, b, "server changed", slog.String("server", string(id)), slog.String("service", string(server.Service)),
				slog.Bool("reports_primary", server.ReportsPrimary), slog.Bool("draining", server.Draining), slog.Uint64("revision", e.Revision))
		}
		b.setServer(server)
		return
	}
	if e.Removed {
		return
	}
	next, ok, err := v.config.Decoder.Plan(e)
	switch {
	case !ok:
	case err != nil:
		v.noteOdd(ctx, slog.LevelError, e, "cannot decode the configuration; the former one stays", err)
	case b.next.Plan != nil && next.Version() <= b.next.Plan.Version():
		v.restore.planWritten = v.restore.planWritten || (!b.listing && next.Version() == b.next.Plan.Version())
	default:
		v.restore.planWritten = true
		v.config.Log.LogAttrs(ctx, slog.LevelInfo, "configuration in force", slog.Uint64("version", next.Version()), slog.Uint64("revision", e.Revision))
		b.next.Plan = next
		b.next.ChangeCounts.Plan++
	}
}

// removeMissing removes what the whole content of the store doesn't contain. present has the keys
// that it contains.
func (v *View) removeMissing(ctx context.Context, now time.Time, b *stateBuilder, present map[string]bool) {
	former := b.next
	for id := range former.Servers {
		if !present[v.config.Decoder.ServerKey(id)] {
			v.removeServer(ctx, now, b, id)
		}
	}
	for id := range former.Instances {
		if !present[v.InstanceKey(id)] {
			v.removeInstance(ctx, b, id)
		}
	}
	for name := range former.Rights {
		if !present[v.RightKey(name)] {
			v.removeRight(b, name)
		}
	}
	for domain := range former.Evacuations {
		if !present[v.config.Decoder.EvacuationKey(domain)] {
			v.endMissingEvacuation(ctx, b, domain)
		}
	}
	maps.DeleteFunc(v.odd, func(key string, _ uint64) bool { return !present[key] })
	b.next.StaleRights = maps.Clone(b.next.StaleRights)
	maps.DeleteFunc(b.next.StaleRights, func(name string, _ uint64) bool { return !present[v.RightKey(name)] })
}
