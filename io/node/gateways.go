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
	// reconcileInterval is the interval at which the open gateways are compared with the
	// configuration and the held rights.
	reconcileInterval = 20 * time.Millisecond
	// gatewayDrainTimeout limits the time that running units of work get to finish when a
	// gateway is closed.
	gatewayDrainTimeout = 5 * time.Second
)

// gateways holds the open gateways of this instance. It is safe for concurrent use.
type gateways struct {
	mu   sync.Mutex
	open map[model.ServiceID]*gateway
	// closing is the number of gateways of each service that are being closed.
	closing map[model.ServiceID]int
	// wait waits for the gateways that are being closed.
	wait sync.WaitGroup
}

func newGateways() *gateways {
	return &gateways{open: map[model.ServiceID]*gateway{}, closing: map[model.ServiceID]int{}}
}

// lookup returns the open gateway of a service at this instance, and false if there is none.
func (g *gateways) lookup(service model.ServiceID) (wire.Gateway, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	gw, ok := g.open[service]
	if !ok {
		return nil, false
	}
	return gw.gate.Load(), true
}

// idle reports whether no unit of work is running any more under a rank of the service that
// this instance has lost. A gateway that was the only one of its service serves all ranks,
// including the lost one, until it is reopened with the new number of ranks.
func (g *gateways) idle(service model.ServiceID, rank int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	gw, ok := g.open[service]
	return g.closing[service] == 0 && (!ok || (gw.rank != rank && gw.count > 1))
}

// reconcile opens and closes gateways so that they match the configuration and the rights
// that this instance holds.
func (n *Node) reconcile() {
	config := n.tracker.current()
	if config == nil {
		return
	}
	wanted := map[model.ServiceID]bool{}
	for _, service := range n.assigned.services(config, n.fleet) {
		wanted[service.ID()] = n.reconcileService(service)
	}
	for _, service := range n.gateways.services() {
		if !wanted[service] {
			n.closeGateway(service)
		}
	}
}

// reconcileService opens or reopens the gateway of a service if this instance holds a rank
// of it. It reports whether the gateway is open afterwards.
func (n *Node) reconcileService(service conf.Service) bool {
	rank, count, ok := n.fleet.Holds(service.ID())
	if !ok {
		return false
	}
	if current := n.gateways.get(service.ID()); current != nil {
		if current.matches(service, rank, count) {
			current.reportLeaving(n.leaving)
			return true
		}
		n.closeGateway(service.ID())
	}
	opened, err := n.openGateway(service, rank, count)
	if err != nil {
		event.Log(context.Background(), n.config.Logger, event.GatewayFailed,
			slog.String("service", string(service.ID())), slog.String("error", err.Error()))
		return false
	}
	n.gateways.put(opened)
	event.Log(context.Background(), n.config.Logger, event.GatewayOpened,
		slog.String("service", string(service.ID())), slog.Int("rank", rank), slog.Int("count", count))
	return true
}

// services returns the services that have an open gateway, in no particular order.
func (g *gateways) services() []model.ServiceID {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []model.ServiceID
	for id := range g.open {
		all = append(all, id)
	}
	return all
}

// get returns the open gateway of a service, or nil.
func (g *gateways) get(service model.ServiceID) *gateway {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open[service]
}

// put adds an open gateway.
func (g *gateways) put(gw *gateway) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open[gw.service.ID()] = gw
}

// closeGateway removes the gateway of a service, so that it gets no new work, and closes it
// in the background when the running units of work have finished. It does nothing if there
// is none.
func (n *Node) closeGateway(service model.ServiceID) {
	g := n.gateways
	g.mu.Lock()
	gw, ok := g.open[service]
	if !ok {
		g.mu.Unlock()
		return
	}
	delete(g.open, service)
	g.closing[service]++
	g.mu.Unlock()
	g.wait.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), gatewayDrainTimeout)
		defer cancel()
		gw.drainAndClose(ctx, n.config.Logger)
		g.mu.Lock()
		g.closing[service]--
		g.mu.Unlock()
		event.Log(context.Background(), n.config.Logger, event.GatewayClosed, slog.String("service", string(service)))
	})
}
