package group

import (
	"context"
	"fmt"
	"time"

	"pomelofork/core/assert"
	"pomelofork/core/model"
	"pomelofork/core/term"
)

// ReplacedError is returned if a newer term is seen before a commit or a confirmation
// is certain. A commit may or may not have survived.
type ReplacedError struct {
	point model.Point
	newer model.Term
}

// Point returns the log point of the commit. For a confirmation it has the term that
// was to be confirmed and position 0.
func (e *ReplacedError) Point() model.Point { return e.point }

// Newer returns the newest term that was seen.
func (e *ReplacedError) Newer() model.Term { return e.newer }

// Error implements error.
func (e *ReplacedError) Error() string {
	return fmt.Sprintf("primary of term %d was replaced, newest term %d", e.point.Term(), e.newer)
}

// waiters counts the callers that wait for commits and for confirmations. Fast polling
// for them continues until commitsFastUntil and confirmsFastUntil.
type waiters struct {
	commits, confirms                   int
	commitsFastUntil, confirmsFastUntil time.Time
}

// wakePollers ends the pauses of all pollers before their next status requests. These
// pauses only limit the load on the servers. If cancelOpen is true, open status requests
// are canceled too. The caller holds the lock.
func (w *Watcher) wakePollers(cancelOpen bool) {
	for _, p := range w.pollers {
		notify(p.pollRequested)
		if cancelOpen {
			notify(p.cancelRequested)
		}
	}
}

// WaitCommitted returns nil once a majority of the group holds point durably and had
// promised no newer term than the point's. It returns nil at once for a zero point. It
// returns a *ReplacedError if the term has been replaced, and an error that wraps
// ctx.Err() if ctx ends first.
func (w *Watcher) WaitCommitted(ctx context.Context, point model.Point) error {
	if point.IsZero() {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.needsFastPolling() {
		w.wakePollers(false)
	}
	w.waiters.commits++
	defer func() {
		w.waiters.commits--
		w.waiters.commitsFastUntil = w.conf.Now().Add(w.conf.PollTiming.FastLinger)
	}()
	for {
		switch w.machine.CommitState(point) {
		case term.CommitDurable:
			w.conf.Check.Hold(w.machine.NewestLedTerm() <= point.Term(), assert.InvariantNoAckByReplacedPrimary,
				"commit %s is acknowledged although term %d has had a primary", point, w.machine.NewestLedTerm())
			return nil
		case term.CommitPrimaryReplaced:
			return &ReplacedError{point: point, newer: w.snapshot.Term()}
		}
		if err := w.awaitChange(ctx); err != nil {
			return fmt.Errorf("commit %s not confirmed by a majority: %w", point, err)
		}
	}
}

// WaitConfirmed returns nil once it is certain that the primary known at the time of
// the call had not been replaced by the time asOf. It returns a *ReplacedError if a
// newer term is seen first, and an error that wraps ctx.Err() if ctx ends first.
func (w *Watcher) WaitConfirmed(ctx context.Context, asOf time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	startTerm := w.snapshot.Term()
	if !w.needsCurrentStatus() {
		w.wakePollers(true)
	}
	w.waiters.confirms++
	defer func() {
		w.waiters.confirms--
		w.waiters.confirmsFastUntil = w.conf.Now().Add(w.conf.PollTiming.FastLinger)
	}()
	for {
		if newest := w.snapshot.Term(); newest != startTerm {
			return &ReplacedError{point: model.NewPoint(startTerm, 0), newer: newest}
		}
		if w.snapshot.Confirmed().After(asOf) {
			return nil
		}
		if err := w.awaitChange(ctx); err != nil {
			return fmt.Errorf("primary not confirmed by a majority: %w", err)
		}
	}
}

// awaitChange waits for the next snapshot. The caller holds the lock, which is released
// while waiting.
func (w *Watcher) awaitChange(ctx context.Context) error {
	changed := w.changed
	w.mu.Unlock()
	defer w.mu.Lock()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-w.ctx.Done():
		return context.Cause(w.ctx)
	}
}

// needsCurrentStatus reports whether statuses are needed as of now, so that servers
// must not delay their answers. The caller holds the lock.
func (w *Watcher) needsCurrentStatus() bool {
	now := w.conf.Now()
	return w.waiters.confirms > 0 || now.Before(w.waiters.confirmsFastUntil) || w.machine.NeedsFastPolling(now)
}

// needsFastPolling reports whether statuses are requested at FastInterval. The caller
// holds the lock.
func (w *Watcher) needsFastPolling() bool {
	return w.waiters.commits > 0 || w.conf.Now().Before(w.waiters.commitsFastUntil) || w.needsCurrentStatus()
}

// maxHold returns how long a server may delay the answer to the next status request.
func (w *Watcher) maxHold() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.needsCurrentStatus() {
		return 0
	}
	return w.conf.PollTiming.MaxHold
}

// pollInterval returns the least time between two status requests to one server.
func (w *Watcher) pollInterval() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.needsFastPolling() {
		return w.conf.PollTiming.FastInterval
	}
	return w.conf.PollTiming.Interval
}
