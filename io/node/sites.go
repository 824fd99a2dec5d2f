package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"pomelofork/core/conf"
	"pomelofork/core/model"
	"pomelofork/io/event"
	"pomelofork/io/wire"
)

const (
	// siteCheck is the pause between two looks at which services this instance serves.
	siteCheck = 20 * time.Millisecond
	// siteDrain bounds the time that the lanes of a former right may take to finish.
	siteDrain = 5 * time.Second
)

// sites holds this instance's part in each service, and those that are ending.
type sites struct {
	mu     sync.Mutex
	open   map[model.ServiceID]*site
	ending map[model.ServiceID]int
	wait   sync.WaitGroup
}

func newSites() *sites {
	return &sites{open: map[model.ServiceID]*site{}, ending: map[model.ServiceID]int{}}
}

// gateway returns this instance's gateway of a service.
func (s *sites) gateway(service model.ServiceID) (wire.Gateway, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	one, ok := s.open[service]
	if !ok {
		return nil, false
	}
	return one.gate.Load(), true
}

// idle reports whether nothing runs any more under a former rank of the service. A site
// that held every rank alone serves the lost one until it was built again.
func (s *sites) idle(service model.ServiceID, rank int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	one, ok := s.open[service]
	return s.ending[service] == 0 && (!ok || (one.rank != rank && one.count > 1))
}

// reconcile opens and ends sites until they match the configuration and the rights.
func (n *Node) reconcile() {
	config := n.line.current()
	if config == nil {
		return
	}
	wanted := map[model.ServiceID]bool{}
	for _, service := range n.assigned.services(config, n.fleet) {
		wanted[service.ID()] = n.reconcileService(service)
	}
	for _, service := range n.sites.services() {
		if !wanted[service] {
			n.endSite(service)
		}
	}
}

// reconcileService reports whether this instance keeps a site of the service.
func (n *Node) reconcileService(service conf.Service) bool {
	rank, count, ok := n.fleet.Holds(service.ID())
	if !ok {
		return false
	}
	if current := n.sites.get(service.ID()); current != nil {
		if current.fits(service, rank, count) {
			current.heed(n.leaving)
			return true
		}
		n.endSite(service.ID())
	}
	opened, err := n.newSite(service, rank, count)
	if err != nil {
		event.Log(context.Background(), n.config.Logger, event.GatewayFailed,
			slog.String("service", string(service.ID())), slog.String("error", err.Error()))
		return false
	}
	n.sites.put(opened)
	event.Log(context.Background(), n.config.Logger, event.GatewayOpened,
		slog.String("service", string(service.ID())), slog.Int("rank", rank), slog.Int("count", count))
	return true
}

func (s *sites) services() []model.ServiceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []model.ServiceID
	for id := range s.open {
		all = append(all, id)
	}
	return all
}

func (s *sites) get(service model.ServiceID) *site {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open[service]
}

func (s *sites) put(one *site) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[one.service.ID()] = one
}

// endSite takes the site out of use and lets its lanes finish behind the scenes.
func (n *Node) endSite(service model.ServiceID) {
	s := n.sites
	s.mu.Lock()
	one, ok := s.open[service]
	if !ok {
		s.mu.Unlock()
		return
	}
	delete(s.open, service)
	s.ending[service]++
	s.mu.Unlock()
	s.wait.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), siteDrain)
		defer cancel()
		one.end(ctx, n.config.Logger)
		s.mu.Lock()
		s.ending[service]--
		s.mu.Unlock()
		event.Log(context.Background(), n.config.Logger, event.GatewayClosed, slog.String("service", string(service)))
	})
}
