package group

import (
	"context"
	"fmt"
	"time"

	"pomelofork/core/assert"
	"pomelofork/core/model"
	"pomelofork/core/term"
)

// ReplacedError says that a newer term was seen before the answer was certain. A
// commit may or may not have survived.
type ReplacedError struct {
	point model.Point
	newer model.Term
}

// Point returns the log point in question, or zero.
func (e *ReplacedError) Point() model.Point { return e.point }

// Newer returns the newest term that was seen.
func (e *ReplacedError) Newer() model.Term { return e.newer }

// Error implements error.
func (e *ReplacedError) Error() string {
	return fmt.Sprintf("primary of term %d was replaced, newest term %d", e.point.Term(), e.newer)
}

// waiting counts who waits for answers.
type waiting struct {
	commits, confirms int
	// until is when questions may become long again.
	until time.Time
}

// WaitCommitted returns nil once a majority holds the point durably at its own term
// and had promised nothing newer. It fails with a *ReplacedError when the term has
// been replaced, and when ctx ends.
func (w *Watcher) WaitCommitted(ctx context.Context, point model.Point) error {
	if point.IsZero() {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting.commits++
	defer func() { w.waiting.commits-- }()
	for {
		switch w.machine.Judge(point) {
		case term.VerdictCommitted:
			w.conf.Check.Hold(w.machine.Led() <= point.Term(), assert.InvariantNoAckByReplaced,
				"commit %s is acknowledged although term %d was led", point, w.machine.Led())
			return nil
		case term.VerdictReplaced:
			return &ReplacedError{point: point, newer: w.known.Term()}
		}
		if err := w.await(ctx); err != nil {
			return fmt.Errorf("commit %s not confirmed by a majority: %w", point, err)
		}
	}
}

// WaitConfirmed returns nil once the primary that is known now was surely not
// replaced before asOf. It fails with a *ReplacedError when another term comes, and
// when ctx ends.
func (w *Watcher) WaitConfirmed(ctx context.Context, asOf time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	began := w.known.Term()
	w.waiting.confirms++
	defer func() {
		w.waiting.confirms--
		w.waiting.until = w.conf.Now().Add(w.conf.Poll.Linger)
	}()
	for first := true; ; first = false {
		if newest := w.known.Term(); newest != began {
			return &ReplacedError{point: model.NewPoint(began, 0), newer: newest}
		}
		if w.known.Confirmed().After(asOf) {
			return nil
		}
		if first && w.waiting.confirms == 1 && w.conf.Now().After(w.waiting.until) {
			for _, p := range w.pollers {
				signal(p.interrupt)
			}
		}
		if err := w.await(ctx); err != nil {
			return fmt.Errorf("primary not confirmed by a majority: %w", err)
		}
	}
}

// await waits for the next picture. The caller holds the lock, which is given up
// meanwhile.
func (w *Watcher) await(ctx context.Context) error {
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

// wait is how long a server may hold back its next answer.
func (w *Watcher) wait() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting.confirms > 0 || w.conf.Now().Before(w.waiting.until) {
		return 0
	}
	return w.conf.Poll.Wait
}

// interval is the least time between two questions.
func (w *Watcher) interval() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting.commits > 0 || w.waiting.confirms > 0 {
		return w.conf.Poll.Eager
	}
	return w.conf.Poll.Interval
}
