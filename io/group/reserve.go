package group

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/term"
	"pomelofork/io/store"
)

const (
	// firstSeries is the first term of the first series that may be reserved. Term 1 is
	// the one with which a group starts.
	firstSeries model.Term = 2
	// maxReserveAttempts bounds the attempts that are made at once when other instances
	// reserve terms at the same time.
	maxReserveAttempts = 8
)

// errNoSeries says that all series of terms of a service are reserved.
var errNoSeries = errors.New("no free series of terms")

// reserveSeries reserves a series of terms and passes it to the machine. If it fails,
// the machine asks for it again later.
func (w *Watcher) reserveSeries(ctx context.Context) {
	series, err := w.claimSeries(ctx)
	if err != nil {
		w.logReserveFailed(ctx, err)
		return
	}
	w.apply(func(now time.Time) []term.Action { return w.machine.Reserved(now, series) })
}

// claimSeries reserves a series in the store. If the store's answer is lost, the series
// may be reserved all the same; it then remains unused, because it is not known which
// instance has reserved it.
func (w *Watcher) claimSeries(ctx context.Context) (term.Series, error) {
	key := "term/" + string(w.conf.Service)
	var conflictErr error
	for range maxReserveAttempts {
		free, revision, err := w.nextFreeSeries(ctx, key)
		if err != nil {
			return term.Series{}, err
		}
		_, err = w.conf.Store.Swap(ctx, store.Swap{
			Key: key, ExpectedRevision: revision, Value: strconv.FormatUint(uint64(free+1), 10),
		})
		if err == nil {
			return term.Series{First: free}, nil
		}
		if conflict := new(store.ConflictError); !errors.As(err, &conflict) {
			return term.Series{}, fmt.Errorf("reserve terms: %w", err)
		}
		conflictErr = err
	}
	return term.Series{}, fmt.Errorf("reserve terms: %w", conflictErr)
}

// nextFreeSeries reads the first term of the next series that is not reserved, and the
// revision of the store key that holds it.
func (w *Watcher) nextFreeSeries(ctx context.Context, key string) (model.Term, uint64, error) {
	item, err := w.conf.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return firstSeries, 0, nil
	}
	if err != nil {
		return 0, 0, fmt.Errorf("read reserved terms: %w", err)
	}
	free, err := strconv.ParseUint(item.Value, 10, 64)
	if err != nil {
		return 0, 0, fmt.Errorf("parse reserved terms %q: %w", item.Value, err)
	}
	if model.Term(free) < firstSeries || model.Term(free) >= term.SeriesStride {
		return 0, 0, fmt.Errorf("next series of terms %d: %w", free, errNoSeries)
	}
	return model.Term(free), item.Revision, nil
}
