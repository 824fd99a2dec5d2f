package memkv

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pomelofork/io/store"
)

// Watch implements store.Store.
func (k *KV) Watch(ctx context.Context, key string, afterRevision uint64, wait time.Duration) (store.Item, bool, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for first := true; ; first = false {
		item, changed, err := k.readForWatch(ctx, key, first)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return store.Item{}, false, err
		}
		if item.Revision > afterRevision {
			return item, true, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return store.Item{}, false, nil
		case <-ctx.Done():
			return store.Item{}, false, fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
		}
	}
}

// readForWatch returns one item and the channel that is closed at the next change. Only
// the first read of a watch counts as a call and is subject to all faults; later reads
// fail during an outage only.
func (k *KV) readForWatch(ctx context.Context, key string, first bool) (store.Item, <-chan struct{}, error) {
	var changed <-chan struct{}
	read := func() (store.Item, error) {
		changed = k.changed
		item, ok := k.items[key]
		if !ok {
			return store.Item{}, store.ErrNotFound
		}
		return item, nil
	}
	if first {
		item, err := withFaults(ctx, k, CallWatch, read)
		return item, changed, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.faults.Outage {
		return store.Item{}, changed, fmt.Errorf("%w: outage", store.ErrUnavailable)
	}
	k.expire()
	item, err := read()
	return item, changed, err
}
