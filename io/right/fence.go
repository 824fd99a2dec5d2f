package right

import (
	"context"
	"errors"

	"pomelofork/io/store"
	"pomelofork/io/view"
)

// NewFence writes a held right to the store again, in one transaction with the given puts, and
// returns its new revision, which is higher than every former fence of the right. It is given the
// era that the puts were encoded for. It fails when this instance doesn't hold the right, and with
// the errors of store.Table.Commit.
func (mgr *Manager) NewFence(ctx context.Context, era uint64, name string, puts ...store.Put) (uint64, error) {
	mgr.mu.Lock()
	h, ok := mgr.held[name]
	lease := mgr.lease
	mgr.mu.Unlock()
	if !ok {
		return 0, errors.New("right is not held by this instance")
	}
	value, err := view.RightValue(mgr.config.Self.ID, era)
	if err != nil {
		return 0, err
	}
	key := mgr.config.View.RightKey(name)
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := mgr.config.Table.Commit(callCtx, store.Txn{
		Era:      era,
		Expected: []store.Condition{{Key: key, Revision: h.revision}},
		Puts:     append([]store.Put{{Key: key, Value: value, Lease: lease}}, puts...),
	})
	if err != nil {
		if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrNotFound) {
			mgr.forget(name)
		}
		return 0, err
	}
	mgr.setRevision(revision, name)
	return revision, nil
}

// setRevision records that rights have been written, unless they were lost meanwhile.
func (mgr *Manager) setRevision(revision uint64, names ...string) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	for _, name := range names {
		if h, ok := mgr.held[name]; ok {
			h.revision = revision
			mgr.held[name] = h
		}
	}
}

// forget removes a right from the held ones.
func (mgr *Manager) forget(name string) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	delete(mgr.held, name)
	mgr.reported = false
}
