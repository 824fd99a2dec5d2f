package memkv

import (
	"context"
	"slices"
	"time"

	"pomelofork/io/store"
)

// instanceList is one version of the list of instances.
type instanceList struct {
	since time.Time
	rows  []store.ListedInstance
}

// SetInstances replaces the list of instances. Instances returns the new list after the
// lag.
func (k *KV) SetInstances(rows []store.ListedInstance) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.instanceLists = append(k.instanceLists, instanceList{since: k.now(), rows: slices.Clone(rows)})
}

// SetInstancesLag sets the time from a call of SetInstances until Instances returns the
// new list.
func (k *KV) SetInstancesLag(lag time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lag = lag
}

// Instances implements store.Store.
func (k *KV) Instances(ctx context.Context) ([]store.ListedInstance, error) {
	return withFaults(ctx, k, CallInstances, func() ([]store.ListedInstance, error) {
		visible := k.now().Add(-k.lag)
		for i := len(k.instanceLists) - 1; i >= 0; i-- {
			if !k.instanceLists[i].since.After(visible) {
				k.instanceLists = k.instanceLists[i:]
				return slices.Clone(k.instanceLists[0].rows), nil
			}
		}
		return nil, nil
	})
}
