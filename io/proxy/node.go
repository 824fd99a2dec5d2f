package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"pomelofork/core/bound"
	"pomelofork/core/drain"
	"pomelofork/core/home"
	"pomelofork/core/level"
	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/quota"
	"pomelofork/core/ramp"
	"pomelofork/core/rank"
	"pomelofork/core/reach"
	"pomelofork/io/clock"
	"pomelofork/io/entry"
	"pomelofork/io/pooler"
	"pomelofork/io/relay"
	"pomelofork/io/right"
	"pomelofork/io/sock"
	"pomelofork/io/store"
	"pomelofork/io/view"
)

const (
	// callSlack is the time that a peer's answer to an order may take beyond the order's
	// own timeout.
	callSlack = 150 * time.Millisecond
	// lookTimeout bounds a Look call to a peer. It also is the time by which the answer to
	// a peer's Follow call may exceed the wait.
	lookTimeout = 150 * time.Millisecond
	// maxInstancesTried bounds the instances that are tried for one order.
	maxInstancesTried = 3
	// pathFailurePause is the time for which an instance that failed to reach a server is
	// not asked to run orders there.
	pathFailurePause = time.Second
	// poolTickInterval is the interval at which the connection pools check their queued
	// statements and idle connections.
	poolTickInterval = 50 * time.Millisecond
)

// Node is one running instance.
type Node struct {
	config Config
	// startedAt is when the instance started.
	startedAt time.Time
	view      *view.View
	rights    *right.Manager
	entry     *entry.Entry
	meter     *meter

	mu    sync.Mutex
	pools map[model.ServerID]*pooler.Pool
	// peers are the clients for calls to other instances, by address.
	peers map[string]*relay.Peer
	// holderOrder caches the results of holders.
	holderOrder map[model.ServerID][]plan.Instance
	monitors    map[model.ServiceID]context.CancelFunc
	buckets     *bound.Map[issuerKey, *bucket]
	// issuers records which of an account's issuers are worth asking now.
	issuers *bound.Map[model.AccountID, *quota.IssuerStatus]
	// transactions maps the units of this entry's open transactions to the instances that
	// run them.
	transactions map[uint64]plan.Instance
	encoded      *encodedValues
	// cold is what this instance knows of its role as the gateway of cold servers.
	cold coldGateways
	// homesLogged is the version of the configuration whose homes were last checked.
	homesLogged uint64
	// pathRetryAt is the time until which an instance that failed to reach a server isn't
	// asked for it.
	pathRetryAt map[serverPath]time.Time
	// endedLeases are the leases of ended instances that this instance has ended or is
	// ending.
	endedLeases map[uint64]bool
	// primaryUses decide, for each service, whether the work of its primary may be passed on.
	// guardsMu guards them and appointing. It is held while no other lock is taken.
	guardsMu sync.Mutex
	// renewals are the questions to monitors that statements wait for, by service.
	renewals    singleflight.Group
	primaryUses map[model.ServiceID]*primaryUse
	// appointing are the fences of the rights under which this instance has begun to write an
	// appointment.
	appointing map[model.ServiceID]uint64
	// confirmingAt is when the view was last confirmed beyond its own queries.
	confirmingAt time.Time
	// fleetLevel is the level of the fleet that was logged last.
	fleetLevel int
	// applied are the change counts of the state that applyChange was last given.
	applied view.ChangeCounts

	// peerUnresponsive is set when a peer does not answer and cleared by updateIsolation.
	peerUnresponsive atomic.Bool
	isolation        reach.Detector
	// schedule is that of the planned stop, if there is one, and passedOn says that others run the work for
	// primaries. The lock guards both.
	schedule drain.Stop
	passedOn bool
	// ending is closed at the end of a planned stop, to end the calls to other instances.
	ending chan struct{}
	// answering counts the orders of other instances whose answers haven't been written.
	answering atomic.Int64
	// outages is nil if the loss of a failure domain doesn't have to be borne.
	outages *outages

	rightsCache  derived[[]right.Spec]
	sourcesCache derived[[]view.Source]
	// directFailedAt is when the store last failed to answer a query for its content by this
	// instance as a follower, in Unix nanoseconds of package clock. Zero means never.
	directFailedAt atomic.Int64
}

const (
	// maxAccounts is the number of accounts up to which nothing is forgotten of them.
	maxAccounts = 1000
	// accountUnused is the time without an operation of an account from which that may be. It is many times the
	// window of a rate limit, so that the burst of a bucket that begins anew isn't on top of a former one.
	accountUnused = time.Minute
)

// bucket is an issuer's token bucket, with the time since when this instance holds the
// issuer's right.
type bucket struct {
	quota *quota.Bucket
	since time.Time
}

// Start starts an instance. Its background work ends with the context; call Stop before,
// so that callers can finish. Start fails if the instance can't answer its peers.
func Start(ctx context.Context, c Config) (*Node, error) {
	meter := newMeter()
	c.Self.PermitLife, c.Self.Level = permitLife(c), level.Newest
	c.Table = store.Metered{Table: c.Table, Count: meter.StoreCall}
	c.Decoder = c.evacuationDecoder()
	n := &Node{
		config: c, startedAt: clock.Now(), meter: meter, pools: map[model.ServerID]*pooler.Pool{}, peers: map[string]*relay.Peer{},
		holderOrder: map[model.ServerID][]plan.Instance{}, monitors: map[model.ServiceID]context.CancelFunc{},
		buckets:      bound.NewMap(bound.Config[issuerKey, *bucket]{Limit: maxAccounts, Unused: accountUnused, New: func(issuerKey) *bucket { return &bucket{} }}),
		issuers:      bound.NewMap(bound.Config[model.AccountID, *quota.IssuerStatus]{Limit: maxAccounts, Unused: accountUnused, New: func(model.AccountID) *quota.IssuerStatus { return &quota.IssuerStatus{} }}),
		transactions: map[uint64]plan.Instance{}, endedLeases: map[uint64]bool{}, pathRetryAt: map[serverPath]time.Time{}, encoded: newEncodedValues(), primaryUses: map[model.ServiceID]*primaryUse{}, appointing: map[model.ServiceID]uint64{},
		ending: make(chan struct{}),
	}
	n.outages = newOutages(n)
	if err := relay.NewServer(relay.ServerConfig{Listener: c.Peers, Handler: &handler{n}, Disconnected: n.rollBackEntry, Answering: &n.answering, Build: c.Build, Rejected: meter.Undecoded, Log: c.Log}); err != nil {
		return nil, fmt.Errorf("start answering peers: %w", err)
	}
	ready := make(chan struct{})
	n.view = view.New(ctx, view.Config{
		OwnPrefix: c.OwnPrefix, Established: c.Established, Decoder: c.Decoder, Sources: n.sources, Log: c.Log,
		Changed: func(s view.State) {
			<-ready
			n.applyChange(&s)
		},
	})
	n.rights = right.NewManager(ctx, right.Config{
		Table: c.Table, View: n.view, Self: c.Self, StoreWrites: c.StoreWrites, Wanted: n.wantedRights, Dependent: n.dependentEntries, Usable: n.outages.usable, Disabled: c.Disabled, Log: c.Log,
		Changed: func(held []string) {
			<-ready
			n.updateMonitors(ctx, held)
		},
	})
	n.entry = entry.New(entry.Config{
		Domain: c.Self.Domain, RunID: rand.Uint64() | 1, KeyLife: c.KeyLife, ColdServers: c.ColdLimit != (ramp.Limit{}), Homes: home.NewMap(c.Regions), View: n.view, Fleet: n, SuspectsDomain: n.outages.suspects, Codec: c.Codec, Meter: n.meter, Evacuation: c.evacuation(), Disabled: c.Disabled, Log: c.Log,
		Limit: c.Limit, MaxSettingsBytes: c.MaxSettingsBytes, Contended: c.Contended, Decided: n.meter.Decision,
	})
	close(ready)
	meter.SetRemembered(n.remembered)
	n.entry.Serve(c.Callers)
	n.serveReady()
	go func() { every(ctx, poolTickInterval, n.tickPools) }()
	go func() { every(ctx, isolationInterval, n.updateIsolation) }()
	if c.Metrics != nil {
		n.serveHTTP(c.Metrics, n.meter, "stopped serving metrics")
	}
	return n, nil
}

// remembered returns what the instance remembers from one statement to the next: of how many services, servers and
// accounts, by what that is, and the bytes of all sessions.
func (n *Node) remembered() (counts map[string]int, sessionBytes int64) {
	counts, sessionBytes = n.entry.Remembered()
	n.mu.Lock()
	defer n.mu.Unlock()
	counts["buckets"], counts["issuers"], counts["transactions"], counts["failed_paths"] = n.buckets.Len(), n.issuers.Len(), len(n.transactions), len(n.pathRetryAt)
	return counts, sessionBytes
}

// serveReady answers readiness checks: whether the instance is ready for new callers.
func (n *Node) serveReady() {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.config.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.entry.Ready(clock.Now()) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	n.serveHTTP(n.config.Ready, mux, "stopped answering readiness checks")
}

// serveHTTP serves HTTP in the background until the listener is closed, and then logs
// the given message.
func (n *Node) serveHTTP(listener net.Listener, handler http.Handler, message string) {
	go func() {
		persistent := sock.NewPersistent(sock.PersistentConfig{Listener: listener, Changed: sock.LogAccepting(n.config.Log, "HTTP clients")})
		err := (&http.Server{Handler: handler, ReadHeaderTimeout: time.Second}).Serve(persistent)
		n.config.Log.LogAttrs(context.Background(), slog.LevelInfo, message, slog.String("error", err.Error()))
	}()
}

// applyChange adapts the instance to a changed state.
func (n *Node) applyChange(s *view.State) {
	n.mu.Lock()
	applied := n.applied
	n.applied = s.ChangeCounts
	if applied.Instances != s.ChangeCounts.Instances {
		clear(n.holderOrder)
		n.updateLevel(s)
	}
	n.observeMembers(clock.Now(), s)
	n.logUnmatchedHomes(s)
	var closing []*pooler.Pool
	if applied.Servers != s.ChangeCounts.Servers {
		closing = n.updatePools(s)
	}
	n.mu.Unlock()
	for _, pool := range closing {
		pool.Close()
	}
	if applied.Plan != s.ChangeCounts.Plan {
		for _, pool := range n.openPools() {
			pool.SetLimits(s.Plan.Connections(pool.Server().Service), s.Plan.MaxIdle())
		}
	}
	if applied.Servers != s.ChangeCounts.Servers {
		n.meter.SetEvacuated(len(s.Evacuations))
		n.entry.StateChanged(clock.Now(), s)
	}
	if applied.Appointments != s.ChangeCounts.Appointments {
		for service, appointment := range s.Appointments {
			n.withdrawLocally(service, appointment.Epoch)
		}
	}
	n.rights.Wake()
}

// updatePools passes the changed entries of servers to their pools. It returns the pools
// to close, whose server was removed or has another address or service. The caller holds the lock.
func (n *Node) updatePools(s *view.State) []*pooler.Pool {
	var closing []*pooler.Pool
	for id, pool := range n.pools {
		server, ok := s.Servers[id]
		// The connections of a pool were opened for one service, and its work is permitted by the appointments of
		// that service.
		if former := pool.Server(); !ok || server.Address != former.Address || server.Service != former.Service {
			closing = append(closing, pool)
			delete(n.pools, id)
			delete(n.holderOrder, id)
			n.cold.poolClosed(clock.Now(), id)
			continue
		}
		if server.Domain != pool.Server().Domain {
			delete(n.holderOrder, id)
		}
		pool.Update(server)
		pool.Cold(clock.Now(), n.coldClaim(clock.Now(), s, server))
	}
	return closing
}

// rollBackEntry rolls back the transactions of one incarnation of another instance, whose
// connection to this one has closed.
func (n *Node) rollBackEntry(incarnation uint64) {
	for _, pool := range n.openPools() {
		pool.RollBackEntry(incarnation)
	}
}

// pool returns this instance's connection pool of a server, or nil if the server isn't
// known.
func (n *Node) pool(id model.ServerID) *pooler.Pool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if pool, ok := n.pools[id]; ok {
		return pool
	}
	state := n.view.State()
	server, ok := state.Servers[id]
	if !ok {
		return nil
	}
	connections := 0
	if state.Plan != nil {
		connections = state.Plan.Connections(server.Service)
	}
	pool := pooler.NewPool(pooler.Config{
		Server: server, Connections: connections, Dialer: n.config.Dialer, Observe: n.entry.Observe, Latest: n.entry.Latest, Evacuation: n.config.evacuation(), Disabled: n.config.Disabled, Log: n.config.Log,
		Allows:    func(now time.Time, epoch uint64) bool { return n.allowsPrimary(now, server.Service, epoch) },
		Contended: n.config.Contended, Weight: n.accountRate, Count: n.meter.Queue,
		Claim: n.coldClaim(clock.Now(), state, server), UsedUntil: n.cold.usedUntil[id], ColdRefused: n.meter.ColdRefused,
	})
	if state.Plan != nil {
		pool.SetLimits(connections, state.Plan.MaxIdle())
	}
	if n.schedule.Active() {
		pool.Stop(n.schedule)
	}
	if n.passedOn {
		pool.PassOnPrimary()
	}
	n.pools[id] = pool
	return pool
}

// holders returns the instances in the order of preference for holding a server's
// connections. The first one that can be reached should hold them.
func (n *Node) holders(server plan.Server) []plan.Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.holdersLocked(server)
}

// holdersLocked returns the result of holders. The caller holds the lock.
func (n *Node) holdersLocked(server plan.Server) []plan.Instance {
	if order, ok := n.holderOrder[server.ID]; ok {
		return order
	}
	order := rank.Order("server-"+string(server.ID), server.Domain, n.view.State().Members())
	n.holderOrder[server.ID] = order
	return order
}

// peer returns the client for calls to an instance.
func (n *Node) peer(inst plan.Instance) *relay.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	// The client stays when the instance's registration expires: the instance may still
	// run transactions of this one, which are rolled back when the connection closes.
	p, ok := n.peers[inst.Address]
	if !ok {
		c := relay.PeerConfig{Name: string(inst.ID), Address: inst.Address, Dial: sock.Dial, Ending: n.ending, Build: n.config.Build, Undecoded: n.meter.Undecoded, Log: n.config.Log}
		n.outages.watchPeer(inst, &c)
		p = relay.NewPeer(c)
		n.peers[inst.Address] = p
	}
	return p
}
