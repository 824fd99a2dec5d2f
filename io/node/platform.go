package node

import (
	"context"
	"errors"
	"log/slog"

	"pomelofork/core/model"
	"pomelofork/io/event"
	"pomelofork/io/peer"
	"pomelofork/io/store"
)

// platformStore adapts the client of the platform to the store and the list of instances
// that peer.Config requires.
type platformStore struct {
	client *store.Client
	// leavingServers is updated with each list of instances.
	leavingServers *leavingServers
	// logger receives the event RightInstanceUnreadable.
	logger *slog.Logger
}

// Get returns the item under key, or the zero item if there is none.
func (p platformStore) Get(ctx context.Context, key string) (peer.Item, error) {
	item, err := p.client.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return peer.Item{}, nil
	}
	if err != nil {
		return peer.Item{}, err
	}
	return peer.Item{Value: item.Value, Revision: item.Revision}, nil
}

// Newer reports whether the item under key has a newer revision than the given one. It
// uses a watch with a wait time of zero, because its response contains the value only if
// the item has changed.
func (p platformStore) Newer(ctx context.Context, key string, revision uint64) (bool, error) {
	_, changed, err := p.client.Watch(ctx, key, revision, 0)
	return changed, err
}

// Swap replaces the item under key if its revision is the expected one, and returns the
// new revision.
func (p platformStore) Swap(ctx context.Context, key string, expected uint64, value string) (uint64, error) {
	item, err := p.client.Swap(ctx, store.Swap{Key: key, ExpectedRevision: expected, Value: value})
	if err != nil {
		return 0, err
	}
	return item.Revision, nil
}

// instances returns the instances of this fleet in the platform's list, and those of which
// only the ID can be read. It also updates the set of leaving backend servers from the list.
// It returns an error if an entry has no readable ID, since it may be that of any instance.
func (p platformStore) instances(ctx context.Context) ([]peer.ListedInstance, error) {
	all, err := p.client.Instances(ctx)
	if err != nil && !errors.Is(err, store.ErrUnreadableInstance) {
		return nil, err
	}
	p.leavingServers.update(all, err == nil)
	if err != nil {
		event.Log(ctx, p.logger, event.RightInstanceUnreadable, slog.String("error", err.Error()))
		return nil, err
	}
	var listed []peer.ListedInstance
	for _, entry := range all {
		if entry.Kind == "" {
			event.Log(ctx, p.logger, event.RightInstanceUnreadable, slog.String("instance", entry.ID))
		}
		if entry.Kind == store.KindEntry || entry.Kind == "" {
			listed = append(listed, peer.ListedInstance{Instance: model.InstanceID(entry.ID), Leaving: entry.State == store.StateLeaving})
		}
	}
	return listed, nil
}
