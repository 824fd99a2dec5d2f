package memkv

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"pomelofork/io/store"
)

// Config holds the settings of a KV.
type Config struct {
	// Now returns the present time, by which leases expire. Nil means time.Now.
	Now func() time.Time
}

// KV is a store.Store in memory. It is safe for concurrent use.
type KV struct {
	now func() time.Time

	mu       sync.Mutex
	items    map[string]store.Item
	leases   map[store.LeaseID]lease
	revision uint64
	leaseSeq store.LeaseID
	// changed is closed and replaced by each swap and by SetFaults.
	changed chan struct{}
	faults  Faults
	calls   map[string]int64
	// instanceLists are the versions of the list of instances, oldest first. lag is the
	// time after which a version becomes visible.
	instanceLists []instanceList
	lag           time.Duration
}

// lease is the state of one lease.
type lease struct {
	ttl time.Duration
	end time.Time
}

var _ store.Store = (*KV)(nil)

// New returns an empty KV.
func New(c Config) *KV {
	if c.Now == nil {
		c.Now = time.Now
	}
	return &KV{
		now:     c.Now,
		items:   map[string]store.Item{},
		leases:  map[store.LeaseID]lease{},
		changed: make(chan struct{}),
		calls:   map[string]int64{},
	}
}

// Get implements store.Store.
func (k *KV) Get(ctx context.Context, key string) (store.Item, error) {
	return withFaults(ctx, k, CallGet, func() (store.Item, error) {
		item, ok := k.items[key]
		if !ok {
			return store.Item{}, store.ErrNotFound
		}
		return item, nil
	})
}

// List implements store.Store.
func (k *KV) List(ctx context.Context, prefix string) ([]store.Item, error) {
	return withFaults(ctx, k, CallList, func() ([]store.Item, error) {
		var found []store.Item
		for _, key := range slices.Sorted(maps.Keys(k.items)) {
			if strings.HasPrefix(key, prefix) {
				found = append(found, k.items[key])
			}
		}
		return found, nil
	})
}

// Swap implements store.Store.
func (k *KV) Swap(ctx context.Context, swap store.Swap) (store.Item, error) {
	return withFaults(ctx, k, CallSwap, func() (store.Item, error) { return k.swap(swap) })
}

// swap carries out the compare-and-swap. The caller holds the lock.
func (k *KV) swap(swap store.Swap) (store.Item, error) {
	if len(swap.Value) > store.MaxValueBytes {
		return store.Item{}, store.NewRequestError(413, "value over the size limit")
	}
	if current := k.items[swap.Key].Revision; current != swap.ExpectedRevision {
		return store.Item{}, store.NewConflictError(current)
	}
	if _, ok := k.leases[swap.LeaseID]; swap.LeaseID != 0 && !ok {
		return store.Item{}, store.ErrNotFound
	}
	k.revision++
	item := store.Item{Key: swap.Key, Value: swap.Value, Revision: k.revision, LeaseID: swap.LeaseID}
	if swap.Delete {
		delete(k.items, swap.Key)
		item = store.Item{Key: swap.Key}
	} else {
		k.items[swap.Key] = item
	}
	close(k.changed)
	k.changed = make(chan struct{})
	return item, nil
}

// Revision returns the revision of the last change anywhere in the store.
func (k *KV) Revision() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.revision
}
