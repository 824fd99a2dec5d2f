package gate

import (
	"context"
	"sync"
	"time"

	"pomelofork/core/drain"
	"pomelofork/core/fair"
	"pomelofork/core/model"
	"pomelofork/core/route"
	"pomelofork/io/wire"
)

// Gateway is the gateway of one service. It implements wire.Gateway and is safe for
// concurrent use.
type Gateway struct {
	config  Config
	policy  *route.Policy
	servers map[model.ServerID]*server
	dialer  dialer
	// tasks counts the goroutines that Close waits for.
	tasks sync.WaitGroup
	ctx   context.Context
	stop  context.CancelFunc
	// dispatchRequests wakes dispatchLoop. Its capacity is 1, so that requests which arrive
	// while it is busy become one.
	dispatchRequests chan struct{}

	// mu protects the fields below, and the state of the servers.
	mu        sync.Mutex
	queue     fair.Policy[*waiter]
	admission drain.Admission
	leaving   *drain.DrainingServers
	outage    *route.OutageEstimator
	// activeWrites counts the units of work that may write and hold a connection.
	activeWrites int
	// drained is closed when the last stream has ended after Drain was called.
	drained chan struct{}
}

// New starts a gateway. The caller must Close it. An error means that the settings of the
// connections can't be built.
func New(c Config) (*Gateway, error) {
	d, err := newDialer(c)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	g := &Gateway{
		config:           c,
		policy:           route.New(route.Config{ReplicaWait: replicaWait}),
		servers:          map[model.ServerID]*server{},
		dialer:           d,
		ctx:              ctx,
		stop:             stop,
		dispatchRequests: make(chan struct{}, 1),
		drained:          make(chan struct{}),
		leaving:          drain.NewDrainingServers(drain.DrainingServersConfig{TransactionTimeout: leavingTransactionTimeout}),
		outage:           route.NewOutageEstimator(route.OutageConfig{InitialMean: initialOutage}),
	}
	slots := 0
	for _, each := range c.Servers {
		s := newServer(each, c.Position)
		slots += s.slots
		g.servers[s.id] = s
		g.tasks.Go(func() { g.openConnections(s, each.Address) })
	}
	g.queue = fair.NewRoundRobin[*waiter](fair.Config{
		Slots: slots, QueueLimit: maxQueuedPerAccount, Quantum: quantum, FirstCost: firstCost, Share: c.Share,
	})
	g.tasks.Go(g.dispatchLoop)
	return g, nil
}

// Open starts a unit of work. It does not wait: slots and connections are acquired by
// Run of the stream. It returns a *model.Refusal if the gateway doesn't hold its right or
// is draining, or if the unit's token is invalid.
func (g *Gateway) Open(_ context.Context, unit wire.Unit) (wire.Stream, error) {
	if !g.config.HoldsRight() {
		return nil, notRun(model.ReasonNoGateway, string(g.config.Service))
	}
	s, err := newStream(g, unit)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.admission.Admit() {
		return nil, notRun(model.ReasonShuttingDown, string(g.config.Service))
	}
	return s, nil
}

// ActiveWrites returns the number of units of work that may write and hold a connection.
func (g *Gateway) ActiveWrites() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.activeWrites
}

// Drain refuses new streams from now on, and waits until all open ones have ended. It
// returns the error of ctx if that ends first.
func (g *Gateway) Drain(ctx context.Context) error {
	g.mu.Lock()
	drained := g.admission.Close()
	g.mu.Unlock()
	if drained {
		return nil
	}
	select {
	case <-g.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// streamEnded records the end of a stream that Open admitted.
func (g *Gateway) streamEnded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.admission.Done() {
		close(g.drained)
	}
}

// Close stops the gateway and closes its idle connections. Open streams fail.
func (g *Gateway) Close() {
	g.stop()
	g.tasks.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		closeAll(s.pool.Clear())
	}
}

// dispatchLoop dispatches whenever the state of the group changes or a dispatch is
// requested, and closes idle connections every checkInterval.
func (g *Gateway) dispatchLoop() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		changed := g.config.Group.Changed()
		g.dispatch()
		select {
		case <-changed:
		case <-g.dispatchRequests:
		case <-ticker.C:
			g.closeIdle()
		case <-g.ctx.Done():
			return
		}
	}
}

// closeIdle closes surplus connections that have been idle for idleTimeout, or all idle
// connections if the gateway doesn't hold its right.
func (g *Gateway) closeIdle() {
	now := g.config.Now()
	holdsRight := g.config.HoldsRight()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if holdsRight {
			closeAll(s.pool.Expire(now.Add(-idleTimeout), s.slots))
		} else {
			closeAll(s.pool.Clear())
		}
	}
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		c.Close()
	}
}
