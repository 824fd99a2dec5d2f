package view

import (
	"context"
	"maps"
	"slices"
	"time"

	"pomelofork/io/clock"
	"pomelofork/io/store"
)

// maxChanges is the largest number of changes kept for peers that query this instance. A peer
// that lacks older changes gets the whole content.
const maxChanges = 1024

// feed holds the store's content and its latest changes, to answer the queries of peers.
type feed struct {
	// entries is the whole content by key.
	entries map[string]store.Entry
	// changes are the latest changes, in the order of their revisions.
	changes []store.Entry
	// revision is the revision of entries. It is zero before the first update.
	revision uint64
	// changesAfter is the revision after which changes has every change.
	changesAfter uint64
	// changed is closed and replaced when entries change.
	changed chan struct{}
}

func newFeed() feed {
	return feed{entries: map[string]store.Entry{}, changed: make(chan struct{})}
}

// add applies an update.
func (f *feed) add(update Update) {
	if update.All {
		clear(f.entries)
		f.changes, f.changesAfter = nil, update.Revision
	}
	f.revision = max(f.revision, update.Revision)
	for _, e := range update.Entries {
		if e.Removed {
			delete(f.entries, e.Key)
		} else {
			f.entries[e.Key] = e
		}
		if !update.All {
			f.changes = append(f.changes, e)
		}
	}
	if excess := len(f.changes) - maxChanges; excess > 0 {
		f.changesAfter = f.changes[excess-1].Revision
		f.changes = slices.Delete(f.changes, 0, excess)
	}
	if len(update.Entries) > 0 {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// answer answers a query. It returns false if there is nothing to report, so that the caller has
// to wait for a change.
func (f *feed) answer(query Query) (Update, bool) {
	if f.revision == 0 {
		return Update{}, false
	}
	if query.All || query.After < f.changesAfter {
		return Update{Entries: slices.Collect(maps.Values(f.entries)), All: true, Revision: f.revision}, true
	}
	update := Update{Revision: f.revision}
	for _, e := range f.changes {
		if e.Revision > query.After {
			update.Entries = append(update.Entries, e)
		}
	}
	return update, len(update.Entries) > 0
}

// Serve answers a query of a peer that uses this instance as its source. Without a change it
// waits up to the query's Wait. It fails with store.ErrUnavailable while this instance has no
// content itself, and with the context's error when that ends.
func (v *View) Serve(ctx context.Context, query Query) (Update, error) {
	timer := time.NewTimer(query.Wait)
	defer timer.Stop()
	for timedOut := false; ; {
		v.mu.Lock()
		update, ok := v.feed.answer(query)
		changed := v.feed.changed
		known := v.feed.revision != 0
		v.mu.Unlock()
		at, fresh := v.FreshAsOf()
		if ok || timedOut {
			if !known || !fresh {
				return Update{}, store.ErrUnavailable
			}
			// The answer includes every change that was fetched until now, so its age is
			// the time from at until now.
			update.Age = clock.Now().Sub(at)
			return update, nil
		}
		select {
		case <-ctx.Done():
			return Update{}, ctx.Err()
		case <-changed:
		case <-timer.C:
			timedOut = true
		}
	}
}
