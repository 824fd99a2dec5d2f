package node

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pomelofork/core/assert"
	"pomelofork/core/conf"
	"pomelofork/core/drain"
	"pomelofork/core/limit"
	"pomelofork/core/model"
	"pomelofork/io/admin"
	"pomelofork/io/caller"
	"pomelofork/io/event"
	"pomelofork/io/link"
	"pomelofork/io/meter"
	"pomelofork/io/peer"
	"pomelofork/io/sock"
	"pomelofork/io/store"
	"pomelofork/io/wire"
)

// Node is one running instance.
type Node struct {
	config   Config
	client   *store.Client
	check    *assert.Checker
	meter    *meter.Meter
	tracker  *configTracker
	fleet    *peer.Fleet
	gateways *gateways
	// assigned is used only by the goroutine of reconcileLoop.
	assigned       assignedServices
	links          *links
	leavingServers leavingServers
	callerServer   *caller.Server
	// accepting is the listener for callers.
	accepting   *sock.Persistent
	linkServer  *link.Server
	adminServer *http.Server

	stopping atomic.Bool
	// schedule is that of the planned stop, or nil.
	schedule atomic.Pointer[drain.Stop]
	done     chan struct{}
	wait     sync.WaitGroup
}

// New starts an instance. Until it knows a configuration, it refuses all requests of callers.
func New(c Config) (*Node, error) {
	operators, err := admin.ParseOperators(c.OperatorTokenHash)
	if err != nil {
		return nil, fmt.Errorf("parse the operators' tokens: %w", err)
	}
	n := &Node{config: c, gateways: newGateways(), done: make(chan struct{})}
	n.meter = meter.New(meter.Config{Instance: c.ID})
	n.client = store.NewClient(store.ClientConfig{Address: c.PlatformURL})
	n.check = assert.NewChecker(func(inv assert.Invariant, text string) {
		event.Log(context.Background(), c.Logger, event.InvariantBroken, slog.Int("invariant", int(inv)), slog.String("text", text))
	})
	n.tracker = newConfigTracker(n.check)
	n.links = newLinks(func(address string) *link.Client {
		return link.NewClient(link.ClientConfig{Address: address, Secret: c.FleetSecret, TLS: c.FleetTLS, Logger: c.Logger, Now: n.now})
	})
	n.persist()
	if err := n.joinFleet(); err != nil {
		return nil, err
	}
	n.linkServer = link.NewServer(link.ServerConfig{
		Listener: n.config.LinkListener, Secret: c.FleetSecret, TLS: c.FleetTLS, Logger: c.Logger, Now: n.now,
		Gateways: func(service model.ServiceID) (wire.Gateway, bool) { return n.gateways.lookup(service) },
	})
	n.callerServer = caller.NewServer(caller.Config{
		Listener: n.config.CallerListener, Limit: c.Limit, TLS: c.CallerTLS, RequireTLS: c.RequireTLS, Directory: n,
		Logger: c.Logger, Meter: n.meter, Check: n.check, Now: n.now,
	})
	n.startAdmin(operators)
	n.wait.Go(n.reconcileLoop)
	event.Log(context.Background(), c.Logger, event.InstanceStarted, slog.String("instance", string(c.ID)))
	return n, nil
}

// now is the only function of this package that reads the clock.
func (n *Node) now() time.Time { return time.Now() }

// joinFleet starts the exchange of heartbeats, rights and configurations with the other
// instances.
func (n *Node) joinFleet() error {
	store := platformStore{client: n.client, leavingServers: &n.leavingServers, logger: n.config.Logger}
	fleet, err := peer.NewFleet(peer.Config{
		Self: peer.Member{
			Instance: n.config.ID, FailureDomain: n.config.Domain,
			PeerAddress: n.config.PeerListener.Addr().String(), LinkAddress: n.config.LinkListener.Addr().String(),
		},
		Listener: n.config.PeerListener, Seeds: n.config.Seeds, Timing: n.config.Timing, Store: store, Instances: store.instances,
		Limits: n.limits, Services: n.services,
		ConfigVersion: n.tracker.version, ConfigDocument: n.tracker.text,
		OnConfig: n.onConfig, DecodeConfig: decodeConfig,
		Idle: n.gateways.idle, TLS: n.config.FleetTLS, Logger: n.config.Logger, Check: n.check, Now: n.now,
	})
	if err != nil {
		return fmt.Errorf("join the fleet: %w", err)
	}
	n.fleet = fleet
	return nil
}

// limits returns the rate and the burst of an account under the active preset, and false if
// the account or the configuration is not known.
func (n *Node) limits(account model.AccountID) (limit.Rate, bool) {
	config := n.tracker.current()
	if config == nil {
		return limit.Rate{}, false
	}
	entry, ok := config.Account(account)
	if !ok {
		return limit.Rate{}, false
	}
	return limit.NewRate(limit.RateConfig{
		PerSecond: limit.MicroTokens(entry.Rate() * float64(limit.Token)),
		Burst:     limit.MicroTokens(entry.Burst()) * limit.Token,
	}), true
}

// services returns the services of the configuration in force, or nil if none is known.
func (n *Node) services() []model.ServiceID {
	config := n.tracker.current()
	if config == nil {
		return nil
	}
	var all []model.ServiceID
	for _, service := range config.Services() {
		all = append(all, service.ID())
	}
	return all
}

// onConfig parses a document from the store or from a peer and puts it in force if it is
// newer than the current one.
func (n *Node) onConfig(version uint64, document []byte) {
	config, err := conf.Parse(document)
	if err != nil {
		event.Log(context.Background(), n.config.Logger, event.ConfigUnreadable,
			slog.Uint64("version", version), slog.String("error", err.Error()))
		return
	}
	n.offer(config)
}

// offer puts a configuration in force if it is newer than the current one.
func (n *Node) offer(config *conf.Config) {
	version := slog.Uint64("version", config.Version())
	switch n.tracker.offer(config) {
	case conf.OfferForked:
		event.Log(context.Background(), n.config.Logger, event.ConfigForked, version)
	case conf.OfferAccepted:
		event.Log(context.Background(), n.config.Logger, event.ConfigInForce, version)
		if n.callerServer != nil {
			// Reload waits for running statements, and the next configuration must not.
			go func() { n.callerServer.Reload() }()
		}
	}
}

// reconcileLoop updates the gateways and the links every reconcileInterval until the
// instance is closed.
func (n *Node) reconcileLoop() {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.done:
			return
		case <-ticker.C:
			n.reconcile()
			n.closeUnusedLinks()
		}
	}
}

// closeUnusedLinks closes the links to addresses that no member of the fleet has any more.
func (n *Node) closeUnusedLinks() {
	addresses := map[string]bool{}
	for _, member := range n.fleet.Members() {
		addresses[member.LinkAddress] = true
	}
	n.links.closeExcept(addresses)
}

// Ready reports whether the load balancer may send callers to this instance: it is not
// stopping, has a current configuration, knows a usable gateway for each service, and can
// issue the tokens of all its shares of the accounts' rates.
func (n *Node) Ready() bool {
	if n.stopping.Load() || !n.fleet.Ready() || n.config.Limit.Full(n.callerServer.Sessions()) || n.accepting.Failing(n.now()) {
		return false
	}
	config, refusal := n.Config(n.now())
	if refusal != nil {
		return false
	}
	for _, service := range config.Services() {
		if len(n.Gateways(service.ID())) == 0 {
			return false
		}
	}
	// While a share of an account's rate can't be used yet, callers would be refused
	// although they are within the rate.
	for _, account := range config.Accounts() {
		if !n.fleet.IssuerReady(account.ID()) {
			return false
		}
	}
	return true
}

// leaveDivisor is the divisor of the time of a planned stop that gives the part kept for the hand-over of the
// rights, after the callers' work.
const leaveDivisor = 5

// stopSchedule returns the schedule of the planned stop.
func (n *Node) stopSchedule() drain.Stop {
	if s := n.schedule.Load(); s != nil {
		return *s
	}
	return drain.Stop{}
}

// Stop performs a planned stop. The instance becomes unready, lets callers finish their
// units of work, hands over its rights, and closes. Stop returns when all this is done;
// after Config.DrainTimeout it closes the instance without waiting any longer.
func (n *Node) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), n.config.DrainTimeout)
	defer cancel()
	event.Log(ctx, n.config.Logger, event.InstanceDraining)
	schedule := drain.NewStop(drain.StopConfig{Began: n.now(), Grace: n.config.DrainTimeout - n.config.DrainTimeout/leaveDivisor})
	n.schedule.Store(&schedule)
	n.stopping.Store(true)
	select {
	case <-time.After(n.config.UnreadyPause):
	case <-ctx.Done():
	}
	n.callerServer.Drain(ctx, schedule)
	if err := n.fleet.Leave(ctx); err != nil {
		event.Log(ctx, n.config.Logger, event.LeaveFailed, slog.String("error", err.Error()))
	}
	n.Close()
	event.Log(context.Background(), n.config.Logger, event.InstanceStopped)
}

// Close closes all connections and listeners without draining, and waits until all
// goroutines have ended. It must be called at most once, and not after Stop.
func (n *Node) Close() {
	n.stopping.Store(true)
	close(n.done)
	_ = n.adminServer.Close()
	n.wait.Wait()
	n.callerServer.Close()
	for _, service := range n.gateways.services() {
		n.closeGateway(service)
	}
	n.gateways.wait.Wait()
	n.linkServer.Close()
	n.links.close()
	n.fleet.Close()
	n.client.Close()
}
