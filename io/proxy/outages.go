package proxy

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/outage"
	"pomelofork/core/plan"
	"pomelofork/core/trial"
	"pomelofork/io/clock"
	"pomelofork/io/pooler"
	"pomelofork/io/relay"
	"pomelofork/io/view"
)

const (
	// poolAnswerAge is the age up to which the last answer of a server in a connection pool is
	// reported: two checks of the pools.
	poolAnswerAge = 100 * time.Millisecond
	// answerInterval is the least time between two reports that a peer answers, while no failure
	// domain is in doubt. It keeps the usual answer free of a shared lock.
	answerInterval = 100 * time.Millisecond
)

// outages gathers the evidence of this instance about other failure domains and applies what
// package outage decides. A nil pointer suspects nothing and does nothing.
type outages struct {
	node *Node

	// suspected are the suspected domains, or nil if there are none. inDoubt says that the answers of
	// some domain count at once. Both are read for each statement, without the lock.
	suspected atomic.Pointer[map[model.Domain]bool]
	inDoubt   atomic.Bool

	mu      sync.Mutex
	tracker *outage.Tracker
	// abandoned are closed when a domain is suspected, and removed when the suspicion ends.
	abandoned map[model.Domain]chan struct{}
	// retained are the change counts of the state whose members were last retained.
	retained view.ChangeCounts
}

// newOutages returns the outages of a node, or nil if the loss of a failure domain doesn't have to be
// borne.
func newOutages(n *Node) *outages {
	if n.config.ToleratedDomains <= 0 || n.config.Disabled.Has(trial.DomainLoss) {
		return nil
	}
	return &outages{node: n, tracker: outage.New(n.config.Self.Domain), abandoned: map[model.Domain]chan struct{}{}}
}

// suspects reports whether a failure domain is suspected of having failed.
func (o *outages) suspects(domain model.Domain) bool {
	if o == nil {
		return false
	}
	suspected := o.suspected.Load()
	return suspected != nil && (*suspected)[domain]
}

// usable reports whether an instance isn't in a suspected failure domain.
func (o *outages) usable(inst plan.Instance) bool { return !o.suspects(inst.Domain) }

// lost reports whether a failure domain has failed as a whole, also by the evidence of another one.
func (o *outages) lost(domain model.Domain) bool {
	if o == nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tracker.Lost(domain)
}

// suspectedLast returns the instances with those of suspected failure domains after the others.
func (o *outages) suspectedLast(instances []plan.Instance) []plan.Instance {
	if o == nil || o.suspected.Load() == nil {
		return instances
	}
	var first, last []plan.Instance
	for _, inst := range instances {
		if o.suspects(inst.Domain) {
			last = append(last, inst)
		} else {
			first = append(first, inst)
		}
	}
	return append(first, last...)
}

// answered records that a member of a failure domain answered.
func (o *outages) answered(domain model.Domain, m outage.Member) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change, changed := o.tracker.Answered(clock.Now(), domain, m)
	o.apply(change, changed)
}

// silent records that a member of a failure domain gave no answer.
func (o *outages) silent(domain model.Domain, m outage.Member) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change, changed := o.tracker.Silent(clock.Now(), domain, m)
	o.inDoubt.Store(true)
	o.apply(change, changed)
}

// apply acts on a change of the belief about a domain. The lock is held.
func (o *outages) apply(c outage.Change, changed bool) {
	if !changed {
		return
	}
	o.setSuspected(c.Domain, c.Suspected)
	attrs := []slog.Attr{slog.String("domain", string(c.Domain)), slog.Int("silent", c.Silent), slog.Int("contacted", c.Contacted), slog.Duration("for", c.Lasted)}
	log, belief := o.node.config.Log, "answers"
	defer func() { o.node.meter.DomainBelief(c.Domain, belief) }()
	switch {
	case c.Lost:
		belief = "lost"
		log.LogAttrs(context.Background(), slog.LevelWarn, "failure domain counts as lost, an instance of another domain suspects it as well", attrs...)
	case c.Suspected:
		belief = "suspected"
		ended := make(chan struct{})
		if former, ok := o.abandoned[c.Domain]; ok {
			ended = former
		}
		close(ended)
		o.abandoned[c.Domain] = ended
		log.LogAttrs(context.Background(), slog.LevelWarn, "failure domain is suspected, its members have stopped answering", append(attrs, slog.String("last", c.Member.String()))...)
	default:
		delete(o.abandoned, c.Domain)
		log.LogAttrs(context.Background(), slog.LevelWarn, "failure domain is no longer suspected", append(attrs, slog.String("member", c.Member.String()))...)
	}
}

// setSuspected replaces the set of suspected domains. The lock is held.
func (o *outages) setSuspected(domain model.Domain, suspected bool) {
	next := map[model.Domain]bool{}
	if former := o.suspected.Load(); former != nil {
		maps.Copy(next, *former)
	}
	if suspected {
		next[domain] = true
	} else {
		delete(next, domain)
	}
	if len(next) == 0 {
		o.suspected.Store(nil)
		return
	}
	o.suspected.Store(&next)
}

// calls returns the channel that is closed when the calls in flight to a domain are to be abandoned,
// or nil for a domain that is suspected already: calls to it are made to find out whether it answers.
func (o *outages) calls(domain model.Domain) <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.tracker.Suspected(domain) {
		return nil
	}
	ended, ok := o.abandoned[domain]
	if !ok {
		ended = make(chan struct{})
		o.abandoned[domain] = ended
	}
	return ended
}

// watchPeer makes a peer of another failure domain report its answers.
func (o *outages) watchPeer(inst plan.Instance, c *relay.PeerConfig) {
	if o == nil || inst.Domain == o.node.config.Self.Domain {
		return
	}
	member := outage.Instance(inst.ID)
	// answeredAt is when an answer was last recorded, in Unix nanoseconds of package clock.
	var answeredAt atomic.Int64
	c.Abandoned = func() <-chan struct{} { return o.calls(inst.Domain) }
	c.Observe = func(e relay.Event) {
		switch e {
		case relay.EventAnswered:
			now := clock.Now().UnixNano()
			if !o.inDoubt.Load() && now-answeredAt.Load() < int64(answerInterval) {
				return
			}
			answeredAt.Store(now)
			o.answered(inst.Domain, member)
		case relay.EventOverdue:
			// The instance may just take long.
			o.examine(clock.Now(), inst.Domain)
		case relay.EventSilent:
			o.silent(inst.Domain, member)
		}
	}
}

// watchPool records what a connection pool knows of its server.
func (o *outages) watchPool(now time.Time, pool *pooler.Pool) {
	if o == nil {
		return
	}
	server := pool.Server()
	switch {
	case server.Domain == o.node.config.Self.Domain:
	case pool.Silent(now):
		o.silent(server.Domain, outage.Server(server.ID))
	case now.Sub(pool.AnsweredAt()) <= poolAnswerAge:
		o.answered(server.Domain, outage.Server(server.ID))
	}
}

// probed records whether a server answered the probe of a monitor.
func (o *outages) probed(server plan.Server, answered bool) {
	switch {
	case o == nil || server.Domain == o.node.config.Self.Domain:
	case answered:
		o.answered(server.Domain, outage.Server(server.ID))
	default:
		o.silent(server.Domain, outage.Server(server.ID))
	}
}
