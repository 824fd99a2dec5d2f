package view

import (
	"context"
	"errors"
	"time"

	"pomelofork/io/store"
)

// Query asks a source for changes.
type Query struct {
	// After is the revision after which changes are wanted.
	After uint64
	// All asks for the whole content instead of the changes.
	All bool
	// Wait is the longest time to wait for a change.
	Wait time.Duration
	// CheckOnly asks only whether there are changes. A source may then leave out the entries. The revision
	// of its answer is above After if there are changes.
	CheckOnly bool
}

// Update is a source's answer to a Query.
type Update struct {
	// Entries are the changes, or the whole content.
	Entries []store.Entry
	// All says that Entries are the whole content.
	All bool
	// Revision is the revision up to which the receiver now has every change.
	Revision uint64
	// Waited is the least time that passed between the query and the moment at which the source
	// made its answer.
	Waited time.Duration
	// Age is the time between the moment as of which the source's own copy was known to be
	// complete and its answer. It is zero for the store.
	Age time.Duration
}

// ErrSourceStopped means that the source's process has ended. It often starts again soon.
var ErrSourceStopped = errors.New("source is not running")

// Source provides the content of the platform's store. It is the store itself or a peer that has
// a copy.
type Source interface {
	// Name identifies the source in logs and distinguishes it from the other sources of a View.
	Name() string
	// Fetch answers a query. It fails with store.ErrCompacted if the source no longer has all
	// changes after the query's revision.
	Fetch(ctx context.Context, query Query) (Update, error)
}

// StoreName is the name of the store as a source.
const StoreName = "store"

// StoreSource reads from the store itself.
type StoreSource struct {
	// Table is the client of the store.
	Table store.Table
	// Prefix selects the keys to read.
	Prefix string
}

// Name implements Source.
func (s StoreSource) Name() string { return StoreName }

// Fetch implements Source.
func (s StoreSource) Fetch(ctx context.Context, query Query) (Update, error) {
	if query.All {
		entries, revision, err := s.Table.List(ctx, s.Prefix)
		return Update{Entries: entries, All: true, Revision: revision}, err
	}
	entries, revision, err := s.Table.Changes(ctx, s.Prefix, query.After, query.Wait)
	update := Update{Entries: entries, Revision: revision}
	if len(entries) == 0 {
		update.Waited = query.Wait
	}
	return update, err
}
