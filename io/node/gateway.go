package node

import (
	"context"
	"log/slog"
	"os"
	"reflect"
	"sync/atomic"

	"pomelofork/core/conf"
	"pomelofork/core/model"
	"pomelofork/io/gate"
	"pomelofork/io/group"
)

// gateway is one gateway of a service at this instance. It consists of the group.Watcher
// that monitors the backend servers and the gate.Gateway that executes units of work on them.
type gateway struct {
	service conf.Service
	// rank is the rank of this gateway, from 0. count is the number of gateways of the
	// service, which is 1 if this instance holds all ranks.
	rank    int
	count   int
	watcher *group.Watcher
	// gate is set once after the watcher has started. Until then it is nil, and the watcher
	// may call busy already.
	gate atomic.Pointer[gate.Gateway]
	// reportedLeaving holds for each backend server whether the watcher was last told that
	// the server is leaving.
	reportedLeaving map[model.ServerID]bool
}

// openGateway opens the gateway of a service with the given rank. The error says that the
// password of the service is missing or that the gate could not be opened.
func (n *Node) openGateway(service conf.Service, rank, count int) (*gateway, error) {
	id := service.ID()
	holds := func() bool {
		current, _, ok := n.fleet.Holds(id)
		return (ok && current == rank) || n.fleet.MayFinish(id)
	}
	isGateway := func() bool {
		_, _, ok := n.fleet.Holds(id)
		return ok
	}
	password, err := service.Password(os.LookupEnv)
	if err != nil {
		return nil, err
	}
	gw := &gateway{service: service, rank: rank, count: count, reportedLeaving: map[model.ServerID]bool{}}
	gw.watcher = group.NewWatcher(group.Config{
		Service: id, Servers: groupServers(service), User: service.User(), Password: password,
		Database: service.Database(), Store: n.client, IsGateway: isGateway, Rank: func() int { return rank }, ActiveWrites: gw.busy,
		Logger: n.config.Logger, Check: n.check, Now: n.now,
	})
	opened, err := gate.New(gate.Config{
		Service: id, Servers: gateServers(service), Position: gate.Position{Rank: rank, Count: count},
		Group: gw.watcher, Share: n.share, User: service.User(), Password: password,
		Database: service.Database(), Logger: n.config.Logger, Check: n.check, Now: n.now, HoldsRight: holds,
		Leaving: n.leaving, Stopping: n.stopSchedule,
	})
	if err != nil {
		gw.watcher.Close()
		return nil, err
	}
	gw.gate.Store(opened)
	return gw, nil
}

// busy returns the number of units of work with writes that are running. The watcher waits
// for them in a planned change of primary.
func (gw *gateway) busy() int {
	if opened := gw.gate.Load(); opened != nil {
		return opened.ActiveWrites()
	}
	return 0
}

// reportLeaving tells the watcher which backend servers are leaving, so that a leaving
// primary is replaced in a planned change.
func (gw *gateway) reportLeaving(leaving func(model.ServerID) bool) {
	for _, server := range gw.service.Servers() {
		if isLeaving := leaving(server.ID()); isLeaving != gw.reportedLeaving[server.ID()] {
			gw.reportedLeaving[server.ID()] = isLeaving
			gw.watcher.SetLeaving(server.ID(), isLeaving)
		}
	}
}

// groupServers returns the backend servers of a service in the form of package group.
func groupServers(service conf.Service) []group.Server {
	var servers []group.Server
	for _, server := range service.Servers() {
		servers = append(servers, group.Server{ID: server.ID(), Address: server.Address(), Domain: server.Domain()})
	}
	return servers
}

// gateServers returns the backend servers of a service in the form of package gate.
func gateServers(service conf.Service) []gate.Server {
	var servers []gate.Server
	for _, server := range service.Servers() {
		servers = append(servers, gate.Server{
			ID: server.ID(), Address: server.Address(), Domain: server.Domain(),
			Slots: server.Slots(), Connections: server.Connections(),
		})
	}
	return servers
}

// matches reports whether the gateway has the given rank and settings, so that it need not
// be reopened. Whether servers are draining makes no difference.
func (gw *gateway) matches(service conf.Service, rank, count int) bool {
	return gw.rank == rank && gw.count == count && gw.service.User() == service.User() &&
		gw.service.Database() == service.Database() && reflect.DeepEqual(gateServers(gw.service), gateServers(service))
}

// drainAndClose waits until the running units of work have finished or ctx ends, and closes
// the gateway.
func (gw *gateway) drainAndClose(ctx context.Context, logger *slog.Logger) {
	if err := gw.gate.Load().Drain(ctx); err != nil {
		logger.Debug("gateway closed before all units of work had finished", slog.String("service", string(gw.service.ID())))
	}
	gw.gate.Load().Close()
	gw.watcher.Close()
}

// share returns the weight by which a client account gets slots of a backend server. An
// unknown account has the weight 1.
func (n *Node) share(account model.AccountID) int {
	if config := n.tracker.current(); config != nil {
		if entry, ok := config.Account(account); ok {
			return entry.Share()
		}
	}
	return 1
}
