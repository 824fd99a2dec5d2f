package memkv

import (
	"context"
	"time"

	"pomelofork/io/store"
)

// GrantLease implements store.Store.
func (k *KV) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	return withFaults(ctx, k, CallGrantLease, func() (store.LeaseID, error) {
		k.leaseSeq++
		k.leases[k.leaseSeq] = lease{ttl: ttl, end: k.now().Add(ttl)}
		return k.leaseSeq, nil
	})
}

// RenewLease implements store.Store.
func (k *KV) RenewLease(ctx context.Context, id store.LeaseID) error {
	_, err := withFaults(ctx, k, CallRenewLease, func() (struct{}, error) {
		held, ok := k.leases[id]
		if !ok {
			return struct{}{}, store.ErrNotFound
		}
		held.end = k.now().Add(held.ttl)
		k.leases[id] = held
		return struct{}{}, nil
	})
	return err
}

// EndLease implements store.Store.
func (k *KV) EndLease(ctx context.Context, id store.LeaseID) error {
	_, err := withFaults(ctx, k, CallEndLease, func() (struct{}, error) {
		if _, ok := k.leases[id]; !ok {
			return struct{}{}, store.ErrNotFound
		}
		k.endLease(id)
		return struct{}{}, nil
	})
	return err
}

// expire ends each lease whose time to live is over. The caller holds the lock.
func (k *KV) expire() {
	now := k.now()
	for id, held := range k.leases {
		if !now.Before(held.end) {
			k.endLease(id)
		}
	}
}

// endLease removes a lease and its items. The caller holds the lock.
func (k *KV) endLease(id store.LeaseID) {
	delete(k.leases, id)
	for key, item := range k.items {
		if item.LeaseID == id {
			delete(k.items, key)
		}
	}
}
