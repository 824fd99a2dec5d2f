package pooler

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"pomelofork/core/drain"
	"pomelofork/core/evac"
	"pomelofork/core/keep"
	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/ramp"
	"pomelofork/core/stmt"
	"pomelofork/core/trial"
	"pomelofork/core/wait"
	"pomelofork/io/logs"
)

const (
	// extraStatements is the number of statements sent beyond the server's slots, so that
	// a slot that becomes free isn't idle for a network round trip.
	extraStatements = 1
	// nonTransactionDivisor gives the part of the pool's connections that transactions may
	// not use: one in nonTransactionDivisor.
	nonTransactionDivisor = 4
	// dialPause is the pause before the next attempt after a connection couldn't be opened.
	dialPause = 100 * time.Millisecond
	// limitPause is the same pause for a server that has reached its limit of connections
	// while the pool has some open. The pool closes one of them to open another, and the
	// server needs a few round trips to notice that it was closed.
	limitPause = 20 * time.Millisecond
	// observedLimitPeriod is how long the pool keeps to the number of connections that it
	// had when the server reached its limit. The server keeps the connections of a machine
	// that lost power or its network for some seconds.
	observedLimitPeriod = time.Second
	// readTimeout is the time after which a read that has been sent fails for lack of an
	// answer. It is many times the cost of any statement.
	readTimeout = 350 * time.Millisecond
	// unresponsiveAfter is the time without any answer to the statements in flight after
	// which new statements are rejected.
	unresponsiveAfter = 400 * time.Millisecond
	// silentAfter is the same for reads that another server may run. It is many times the
	// time between two answers of a server under load.
	silentAfter = 200 * time.Millisecond
	// surplusIdleTimeout is the time after which an idle connection is closed when another
	// instance should hold the server's connections.
	surplusIdleTimeout = 300 * time.Millisecond
)

// Pool holds this instance's connections to one backend server and the statements that
// wait for them.
type Pool struct {
	server  plan.Server
	dialer  Dialer
	observe func(model.ServiceID, time.Time, model.Point)
	latest  func(model.ServiceID) (time.Time, model.Point, bool)
	allows  func(now time.Time, epoch uint64) bool
	// evacuation says what may be sent while the server's failure domain is evacuated.
	evacuation evac.Policy
	// coldRefused counts refusals of a cold server.
	coldRefused func()
	log         *slog.Logger
	// disabled are the mechanisms that are switched off.
	disabled  trial.Disabled
	contended bool
	weight    func(model.AccountID) float64
	count     func(outcome string)

	mu sync.Mutex
	// limit is the maximum number of open and opening connections.
	limit int
	// maxIdle is the longest time between two statements of a transaction. Zero means no limit.
	maxIdle time.Duration
	// observedLimit is a lower limit that holds until observedLimitUntil: the number of
	// connections that the pool had when the server refused another one.
	observedLimit      int
	observedLimitUntil time.Time
	queue              *wait.Queue[*request]
	conns              map[*serverConn]struct{}
	// demand records how often accounts use the server, and share what openings take of it.
	demand keep.Demand[model.AccountID]
	share  keep.Share
	// transactions holds the connections with an open transaction.
	transactions map[txKey]*serverConn
	// running counts the statements in flight and the connections being opened.
	running int
	// opening counts the connections being opened by client account.
	opening map[model.AccountID]int
	// nextOpen is the earliest time to open another connection. openTimer dispatches the
	// queue then.
	nextOpen  time.Time
	openTimer *time.Timer
	// downSince is the time of the first failure to connect since the last success. Zero
	// means that there was none.
	downSince time.Time
	// exhausted says that this process lacked a descriptor for the last connection that it tried to open.
	exhausted bool
	// reached says that a connection was opened once.
	reached bool
	// lastAnswer is when the server last answered. It is also set when a statement is sent
	// or a connection attempt begins while nothing is running.
	lastAnswer time.Time
	// answeredAt is when it last answered.
	answeredAt time.Time
	// confirmedAt is the latest time as of which the server is known to have been the
	// service's primary.
	confirmedAt time.Time
	// ramp limits what the server gets while it is cold.
	ramp *ramp.Ramp
	// schedule is that of the instance's planned stop, if there is one. passedOn says that others run the
	// work for a primary.
	schedule drain.Stop
	passedOn bool
	// evacuated says that nothing is sent because the failure domain is evacuated.
	evacuated bool
	// holder says that this instance should hold the server's connections, as of the last Tick.
	holder bool
	closed bool
}

// NewPool returns a pool without connections. It opens them when statements need them.
func NewPool(c Config) *Pool {
	if c.ColdRefused == nil {
		c.ColdRefused = func() {}
	}
	if c.Allows == nil {
		c.Allows = func(time.Time, uint64) bool { return true }
	}
	if c.Count == nil || !c.Contended {
		c.Count = func(string) {}
	}
	if c.Weight == nil {
		c.Weight = func(model.AccountID) float64 { return 1 }
	}
	return &Pool{
		server: c.Server, dialer: c.Dialer, observe: c.Observe, latest: c.Latest, allows: c.Allows, evacuation: c.Evacuation, coldRefused: c.ColdRefused, log: c.Log, disabled: c.Disabled,
		contended: c.Contended, weight: c.Weight, count: c.Count,
		limit: keep.Usable(c.Connections), queue: wait.NewWithPolicy[*request](c.Server.Slots, wait.Policy{
			ArrivalOrder: c.Disabled.Has(trial.TargetOrder), AcceptAll: c.Disabled.Has(trial.EarlyRejection),
			Contended: c.Contended, EqualAccounts: c.Disabled.Has(trial.AccountShares), TargetWait: c.Disabled.Has(trial.GapWait),
			EqualReturn: c.Disabled.Has(trial.ReturnPlaces),
		}),
		ramp:  ramp.New(c.UsedUntil, c.Claim, c.Server.ColdUntil),
		conns: map[*serverConn]struct{}{}, transactions: map[txKey]*serverConn{}, opening: map[model.AccountID]int{},
	}
}

// Server returns the backend server with the role, the draining state and the revision of
// the last Update.
func (p *Pool) Server() plan.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.server
}

// DownSince returns the time of the first failure to open a connection since the last
// success, or the zero time. A refusal because of the limit of connections doesn't count.
func (p *Pool) DownSince() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.downSince
}

// Run queues an order, runs it and returns its result. It returns by the order's timeout,
// unless the statement has been sent: then the deadline of the connection ends the wait.
func (p *Pool) Run(now time.Time, order *stmt.Order) stmt.Result { return p.RunFor(now, order, nil) }

// RunFor does the same for an order of another instance. The order isn't begun any more once gone is closed, which has
// to be before RollBackEntry is called.
func (p *Pool) RunFor(now time.Time, order *stmt.Order, gone <-chan struct{}) stmt.Result {
	r := &request{order: order, received: now, gone: gone, result: make(chan stmt.Result, 1)}
	if order.Unit != 0 {
		r.key = txKey{order.Entry, order.Unit}
	}
	p.mu.Lock()
	r.deadline = p.schedule.Limit(now.Add(order.Timeout))
	p.enqueue(now, r)
	p.mu.Unlock()
	timer := time.NewTimer(order.Timeout)
	defer timer.Stop()
	select {
	case result := <-r.result:
		return result
	case <-timer.C:
	case <-gone:
	}
	queued := false
	p.mu.Lock()
	p.queue.Remove(func(other *request) bool {
		queued = queued || other == r
		return other == r
	})
	p.mu.Unlock()
	switch {
	case queued && r.ownerGone():
		return refused(stmt.CodeAborted, ownerGoneText, 0)
	case queued:
		return refused(stmt.CodeBusy, "no free slot in time", 0)
	}
	// The statement has been sent or answered. The deadline of its connection ends the wait.
	return <-r.result
}

// refused returns the result of a statement that was never sent to the server. The caller
// may retry after the given time.
func refused(code stmt.Code, text string, after time.Duration) stmt.Result {
	return stmt.Result{Answer: stmt.Refuse(code, stmt.StateIdle, text), NotSent: true, RetryAfter: after}
}

// enqueue adds a request to the queue, or answers it at once if it can't be served. The
// rollback of a transaction doesn't wait.
func (p *Pool) enqueue(now time.Time, r *request) {
	p.updateEvacuated(now)
	inTransaction := r.continuesTransaction()
	switch {
	case p.closed:
		r.result <- refused(stmt.CodeMoved, "server is gone", 0)
		return
	case r.ownerGone():
		r.result <- refused(stmt.CodeAborted, ownerGoneText, 0)
		return
	case inTransaction && p.transactions[r.key] == nil:
		if r.order.Statement.Kind == stmt.KindRollback {
			p.cancelQueued(r.key)
		}
		r.result <- refused(stmt.CodeAborted, "transaction is gone", 0)
		return
	case p.refuseStopping(now, r):
		return
	case p.evacuated && r.order.Statement.Kind != stmt.KindRollback:
		r.result <- p.refuseEvacuated(r)
		return
	case r.order.Statement.Kind == stmt.KindRollback && p.transactions[r.key] == nil:
		r.result <- stmt.Result{Answer: stmt.Answer{Code: stmt.CodeDone}}
		return
	case r.order.Statement.Kind == stmt.KindRollback && p.evacuated:
		p.discard(p.transactions[r.key])
		r.result <- stmt.Result{Answer: stmt.Answer{Code: stmt.CodeDone}}
		return
	case r.order.Statement.Kind == stmt.KindRollback:
		p.start(now, p.transactions[r.key], r)
		return
	case inTransaction && !p.ramp.Permits(now, ramp.Open):
		p.discard(p.transactions[r.key])
		r.result <- refused(stmt.CodeAborted, notGatewayText, 0)
		return
	case !inTransaction && !p.mayUse(now, r.order):
		r.result <- refused(stmt.CodeReadOnly, withdrawnText, 0)
		return
	case !inTransaction && now.Before(p.nextOpen) && len(p.conns) == 0:
		r.result <- refused(p.unreachable(), "no connection to the server", p.nextOpen.Sub(now))
		return
	case !inTransaction && p.silentFor(now) > p.queue.SilenceTimeout(unresponsiveAfter):
		r.result <- refused(stmt.CodeConnectionLost, silentText, unresponsiveAfter)
		return
	case r.order.AnyServerMayRun() && (p.silentFor(now) > p.queue.SilenceTimeout(silentAfter) || p.reconnecting()):
		r.result <- refused(stmt.CodeConnectionLost, silentText, silentAfter)
		return
	}
	if !inTransaction {
		p.demand.Use(now, r.order.Account)
	}
	if after, ok := p.admitCold(now, r); !ok {
		r.result <- p.refuseCold(after)
		return
	}
	refusal, ok := p.queue.Add(now, wait.Item[*request]{
		Value: r, Class: r.order.Class, Priority: p.queuePriority(r.order), InTransaction: inTransaction,
		Target: now.Add(r.order.Target), Deadline: r.deadline,
		Account: r.order.Account, Weight: p.weight(r.order.Account), Bytes: r.size(),
	}, p.running)
	if !ok {
		p.countRefusal(refusal)
		result := p.refusedByQueue(now, "queue is too long", refusal)
		p.log.LogAttrs(context.Background(), slog.LevelInfo, "statement not queued", slog.String("request", logs.Shortened(r.order.Statement.ID)),
			slog.String("server", string(p.server.ID)), slog.Duration("wait", refusal.Wait), slog.Duration("target", r.order.Target),
			slog.Int("waiting", p.queue.Len()), slog.Int("running", p.running), slog.Duration("cost", p.queue.Cost(r.order.Class)))
		r.result <- result
		return
	}
	p.count("queued")
	p.dispatch(now)
}

// unreachable returns the code for a statement without a connection to run on: whether the
// server can't be reached from here or has reached its limit of connections.
func (p *Pool) unreachable() stmt.Code {
	if p.downSince.IsZero() && !p.exhausted {
		return stmt.CodeConnectionLimit
	}
	return stmt.CodeConnectionLost
}

// Tick rejects the queued statements that can't be served in time and starts those that
// can run. If holder is false, another instance should hold the server's connections, and
// Tick closes the connections that have been idle for a while. It is to be called
// periodically.
func (p *Pool) Tick(now time.Time, holder bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateEvacuated(now)
	p.releaseIfMoved(holder)
	p.endTransactions(now)
	p.endUnowned(now)
	p.trim()
	if p.queue.Len()+p.queue.Displaced() > 0 {
		p.shedCold(now)
		if !p.disabled.Has(trial.SilentServers) {
			p.releaseReads(now)
		}
		p.dispatch(now)
	}
	if holder {
		return
	}
	for sc := range p.conns {
		if sc.idle() && now.Sub(sc.idleFrom) > surplusIdleTimeout {
			p.discard(sc)
		}
	}
}

// RollBackEntry rolls back the open transactions of one incarnation of an entry, by closing
// their connections. It is to be called when the entry's connection to this instance has
// closed.
func (p *Pool) RollBackEntry(entry uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var entryConns []*serverConn
	for key, sc := range p.transactions {
		if key.entry == entry {
			entryConns = append(entryConns, sc)
		}
	}
	for _, sc := range entryConns {
		p.discard(sc)
	}
}

// Update sets the role, the draining state and the revision that the server registered
// last, the time until which it is cold, and since when its failure domain is evacuated. The other fields keep their values.
func (p *Pool) Update(server plan.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server.Primary, p.server.Draining, p.server.Revision, p.server.EvacuatedSince = server.Primary, server.Draining, server.Revision, server.EvacuatedSince
	p.server.ColdUntil = server.ColdUntil
}

// Idle reports whether no statement is queued or running and no transaction is open.
func (p *Pool) Idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running == 0 && p.queue.Len()+p.queue.Displaced() == 0 && len(p.transactions) == 0
}

// Close rejects the queued statements and all later ones, and closes the connections.
// Statements in flight fail.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.openTimer != nil {
		p.openTimer.Stop()
	}
	for _, item := range p.queue.RemoveAll() {
		item.Value.result <- refused(stmt.CodeMoved, "server is gone", 0)
	}
	for _, sc := range slices.Collect(maps.Keys(p.conns)) {
		p.discard(sc)
	}
}
