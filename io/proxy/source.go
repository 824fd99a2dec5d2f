package proxy

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pomelofork/core/model"
	"pomelofork/core/pace"
	"pomelofork/core/plan"
	"pomelofork/core/rank"
	"pomelofork/core/trial"
	"pomelofork/io/clock"
	"pomelofork/io/relay"
	"pomelofork/io/store"
	"pomelofork/io/view"
)

const (
	// instancesPerWatcher is the number of instances in a failure domain for which one of
	// them watches the store itself. The others follow the store through it. A larger
	// number would mean less load on the store, but a watcher sends each configuration to
	// all of its followers.
	instancesPerWatcher = 24
	// spareSources is the number of watchers in other failure domains that are queried if
	// those of the own domain don't answer.
	spareSources = 2
	// followSlack is the time that a peer's answer may take beyond the wait for a change.
	followSlack = 300 * time.Millisecond
	// followWait is the time for which a call to a peer waits for a change. It costs no
	// call to the store, so it is shorter than the wait of a watcher, and a follower's
	// last confirmation of the configuration is hardly older than its watcher's.
	followWait = 700 * time.Millisecond
)

// sources returns the sources of the store's content, best first. For a watcher that is
// the store itself, and for the other instances the watchers of their failure domain, then
// one of another domain, the store, and one more. The peers are also
// listed while this instance's own registration has expired, because that happens when the
// store rejects its calls.
//
// An instance that isn't a watcher doesn't query the store for a while after the store has
// failed to answer it. In an outage of the store no peer has recent content, and every
// instance would turn to the store otherwise.
func (n *Node) sources(s *view.State) []view.Source {
	all := n.sourcesCache.get(s.ChangeCounts.Instances, func() []view.Source { return n.rankSources(s) })
	if len(all) == 1 || clock.Now().UnixNano()-n.directFailedAt.Load() >= int64(pace.DirectInterval(len(s.Instances))) {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(source view.Source) bool {
		_, direct := source.(directSource)
		return direct
	})
}

// directSource is the store itself as a source for an instance that isn't a watcher.
type directSource struct {
	view.StoreSource
	node *Node
}

// Fetch implements view.Source.
func (s directSource) Fetch(ctx context.Context, query view.Query) (view.Update, error) {
	update, err := s.StoreSource.Fetch(ctx, query)
	if err != nil && !errors.Is(err, store.ErrCompacted) {
		s.node.directFailedAt.Store(clock.Now().UnixNano())
	}
	return update, err
}

// rankSources computes the result of sources.
func (n *Node) rankSources(s *view.State) []view.Source {
	direct := view.StoreSource{Table: n.config.Table, Prefix: n.config.Prefix}
	if n.config.Disabled.Has(trial.Followers) {
		return []view.Source{direct}
	}
	domains := map[model.Domain][]plan.Instance{}
	for _, inst := range s.Instances {
		domains[inst.Domain] = append(domains[inst.Domain], inst)
	}
	var near []view.Source
	var far []plan.Instance
	watches := false
	for domain, members := range domains {
		for _, inst := range rank.Watchers(members, instancesPerWatcher) {
			switch {
			case inst.ID == n.config.Self.ID:
				watches = true
			case domain == n.config.Self.Domain:
				near = append(near, peerSource{n, inst})
			default:
				far = append(far, inst)
			}
		}
	}
	if len(near) > 1 {
		// Each follower has an order of its own, so that no watcher gets all of them.
		shift := int(xxhash.Sum64String(string(n.config.Self.ID)) % uint64(len(near)))
		near = append(near[shift:], near[:shift]...)
	}
	var spare []view.Source
	far = rank.Order("spare-"+string(n.config.Self.ID), "", far)
	for _, inst := range far[:min(spareSources, len(far))] {
		spare = append(spare, peerSource{n, inst})
	}
	if watches {
		return slices.Concat([]view.Source{direct}, near, spare)
	}
	// If the watchers of a domain are lost, all of its instances would turn to the store. One of
	// another domain comes first, and only one, because each that is lost as well takes time.
	first := min(1, len(spare))
	return slices.Concat(near, spare[:first], []view.Source{directSource{direct, n}}, spare[first:])
}

// peerSource is a peer as a source of the store's content.
type peerSource struct {
	node *Node
	peer plan.Instance
}

// Name implements view.Source. It is the instance's ID, unless the store itself has that name.
func (s peerSource) Name() string {
	if s.peer.ID == view.StoreName {
		return "instance " + view.StoreName
	}
	return string(s.peer.ID)
}

// Fetch implements view.Source.
func (s peerSource) Fetch(_ context.Context, q view.Query) (view.Update, error) {
	now, wait := clock.Now(), min(followWait, q.Wait)
	response, err := s.node.peer(s.peer).Follow(now, &relay.FollowRequest{After: q.After, All: q.All, Wait: wait, CheckOnly: q.CheckOnly}, wait+followSlack)
	if err != nil {
		s.node.endLeaseIfRefused(s.peer, err)
		if errors.Is(err, relay.ErrConnRefused) {
			err = fmt.Errorf("%w: %w", view.ErrSourceStopped, err)
		}
		return view.Update{}, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	if !response.Known {
		return view.Update{}, errors.New("peer has no configuration yet")
	}
	if err := decode(response.Entries); err != nil {
		return view.Update{}, err
	}
	update := view.Update{Entries: response.Entries, All: response.All, Revision: response.Revision, Age: response.Age}
	if len(update.Entries) == 0 {
		update.Waited = wait
	}
	return update, nil
}

// Follow implements relay.Handler.
func (h *handler) Follow(args *relay.FollowRequest, result *relay.FollowResponse) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Wait+lookTimeout)
	defer cancel()
	if args.CheckOnly {
		h.node.confirmForFollower()
	}
	update, err := h.node.view.Serve(ctx, view.Query{After: args.After, All: args.All, Wait: args.Wait})
	if err != nil {
		// The empty result tells the peer that this instance has no configuration yet.
		return nil
	}
	result.Known, result.Revision, result.Age = true, update.Revision, update.Age
	if args.CheckOnly {
		// The peer gets the changes by its other query. A large configuration that was sent with the
		// answer to each check would fill the link of this instance.
		return nil
	}
	result.All, result.Entries = update.All, h.node.encoded.encode(update.Entries)
	return nil
}
