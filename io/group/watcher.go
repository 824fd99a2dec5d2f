package group

import (
	"context"
	"sync"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/term"
)

// Watcher keeps the state of one group of backend servers. On a gateway of the service
// it also replaces a primary that has failed or is leaving. It is safe for concurrent
// use.
type Watcher struct {
	conf             Config
	ctx              context.Context
	stop             context.CancelFunc
	work             sync.WaitGroup
	pollers          map[model.ServerID]*poller
	reserveRequested chan struct{}

	mu       sync.Mutex
	machine  *term.Machine
	snapshot term.Snapshot
	changed  chan struct{}
	waiters  waiters
}

// NewWatcher starts watching. Close must be called at the end.
func NewWatcher(c Config) *Watcher {
	c = c.withDefaults()
	ids := make([]model.ServerID, len(c.Servers))
	for i, s := range c.Servers {
		ids[i] = s.ID
	}
	now := c.Now()
	w := &Watcher{
		conf:             c,
		pollers:          make(map[model.ServerID]*poller, len(c.Servers)),
		reserveRequested: make(chan struct{}, 1),
		machine:          term.New(term.Config{Servers: ids, Detector: c.Detector, Timing: *c.Timing, Check: c.Check, Now: now}),
		changed:          make(chan struct{}),
	}
	w.ctx, w.stop = context.WithCancel(context.Background())
	w.snapshot = w.machine.Snapshot(now)
	for _, s := range c.Servers {
		w.pollers[s.ID] = newPoller(w, s)
	}
	for _, p := range w.pollers {
		w.work.Go(func() { p.run(w.ctx) })
		w.work.Go(func() { p.runCancels(w.ctx) })
	}
	w.work.Go(func() {
		ticker := time.NewTicker(c.PollTiming.TickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-w.ctx.Done():
				return
			case <-ticker.C:
				w.tick()
			}
		}
	})
	w.work.Go(func() {
		for {
			select {
			case <-w.ctx.Done():
				return
			case <-w.reserveRequested:
				w.reserveSeries(w.ctx)
			}
		}
	})
	return w
}

// Close stops all work and waits until it has ended. Callers that wait for a commit or
// a confirmation get an error.
func (w *Watcher) Close() {
	w.stop()
	w.work.Wait()
}

// Snapshot returns the latest snapshot of the group.
func (w *Watcher) Snapshot() term.Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.snapshot
}

// Changed returns a channel that is closed when the snapshot changes next.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// ChangePrimary asks for a planned change of primary, which keeps the time without a
// primary short. It returns at once; Config.Report receives the result.
func (w *Watcher) ChangePrimary() { w.apply(w.machine.ChangePrimary) }

// SetLeaving says whether a server is leaving, according to the platform's list or to
// an operator. A leaving server gets no new work, and a leaving primary is replaced by
// another server.
func (w *Watcher) SetLeaving(id model.ServerID, leaving bool) {
	w.apply(func(now time.Time) []term.Action { return w.machine.SetLeaving(now, id, leaving) })
}

// apply passes one event to the machine, publishes the new snapshot and performs the
// resulting actions.
func (w *Watcher) apply(f func(now time.Time) []term.Action) {
	w.mu.Lock()
	now := w.conf.Now()
	actions := f(now)
	w.publish(now)
	w.mu.Unlock()
	w.perform(actions)
}

// publish takes a new snapshot and notifies the callers that wait for it. If the
// snapshot affects which server is selected, fast polling begins, because more changes
// will follow soon and commits may wait for them. The caller holds the lock.
func (w *Watcher) publish(now time.Time) {
	last := w.snapshot
	w.snapshot = w.machine.Snapshot(now)
	if affectsSelection(last, w.snapshot) {
		w.waiters.commitsFastUntil = now.Add(w.conf.PollTiming.FastLinger)
		w.wakePollers(false)
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

// tick passes the present time to the machine. The snapshot is published only if it
// affects which server is selected or there are actions.
func (w *Watcher) tick() {
	isGateway, rank, activeWrites := w.conf.IsGateway() && w.conf.Store != nil, w.conf.Rank(), w.conf.ActiveWrites()
	w.mu.Lock()
	now := w.conf.Now()
	w.machine.SetRole(isGateway, rank)
	actions := w.machine.Tick(now, activeWrites)
	if len(actions) > 0 || affectsSelection(w.snapshot, w.machine.Snapshot(now)) {
		w.publish(now)
	}
	w.mu.Unlock()
	w.perform(actions)
}

// affectsSelection reports whether two snapshots differ in something by which servers
// are selected.
func affectsSelection(a, b term.Snapshot) bool {
	if pa, _ := a.Primary(); b.Term() != a.Term() {
		return true
	} else if pb, _ := b.Primary(); pa != pb {
		return true
	}
	for id, view := range a.Servers() {
		other, _ := b.Server(id)
		if view.Reachable != other.Reachable || view.Leaving != other.Leaving {
			return true
		}
	}
	return false
}

// perform carries out actions. It does not block. The caller must not hold the lock.
func (w *Watcher) perform(actions []term.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case term.Fence:
			w.fence(a)
		case term.Promote:
			w.promote(a)
		case term.Poll:
			w.pollers[a.Server].pollNow()
		case term.ReserveTerms:
			select {
			case w.reserveRequested <- struct{}{}:
			default:
			}
		case term.Report:
			w.report(a)
		}
	}
}
