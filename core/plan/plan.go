package plan

import (
	"maps"
	"slices"
	"time"

	"pomelofork/core/model"
)

// Freshness is the guarantee that a route gives about the commits that its reads see.
type Freshness uint8

// The levels of freshness.
const (
	// FreshLatest means that reads see every commit that was acknowledged before the
	// read.
	FreshLatest Freshness = iota
	// FreshBounded means that reads see every commit that was acknowledged longer ago
	// than the route's MaxAge.
	FreshBounded
	// FreshSession means that reads are FreshBounded and also see the session's own
	// commits.
	FreshSession
)

// Route is one way of using a service. Callers select it by the database name.
type Route struct {
	// Name is the name of the route in the configuration, as opposed to the database name.
	Name string
	// Service is the service whose backend servers run the route's statements.
	Service model.ServiceID
	// Freshness is the guarantee for reads on the route.
	Freshness Freshness
	// MaxAge is the largest age of the data that FreshBounded and FreshSession allow.
	MaxAge time.Duration
	// Timeout is the longest time that one statement may take.
	Timeout time.Duration
	// TargetLatency is the operator's target for the duration of a whole operation.
	TargetLatency time.Duration
	// Priority is the priority of the route's statements. 0 is the highest.
	Priority int
	// Public says that callers need no key.
	Public bool
	// Homes are the regions to which the route's statements are restricted. Empty means no
	// restriction.
	Homes []model.Region
}

// ColdStart says how much a server that just started can take. The zero value says nothing.
type ColdStart struct {
	// Duration is the time after its start for which a server is cold. If it is zero, a server is
	// cold only if its entry says so.
	Duration time.Duration
	// PerSecond is the number of statements a second that a cold server can run. A negative number
	// stands for an invalid one.
	PerSecond float64
}

// Stated reports whether the configuration states a rate, which may be invalid.
func (c ColdStart) Stated() bool { return c.PerSecond != 0 }

// Account is one client account.
type Account struct {
	// ID is the account's identifier.
	ID model.AccountID
	// PerSecond is the account's rate, in operations per second.
	PerSecond float64
	// Burst is the largest number of unused operations that may accumulate.
	Burst float64
	// Homes are the regions to which the account's statements are restricted. Empty means no
	// restriction.
	Homes []model.Region
}

// Config holds the contents of a plan.
type Config struct {
	// Version is the version of the configuration. A later configuration has a higher
	// one.
	Version uint64
	// Routes maps database names to routes.
	Routes map[string]Route
	// Keys maps keys to the accounts that they belong to.
	Keys map[string]model.AccountID
	// Accounts maps identifiers to accounts.
	Accounts map[model.AccountID]Account
	// Connections is, for each service, the number of connections that each of its
	// servers accepts.
	Connections map[model.ServiceID]int
	// SyncReplicas is, for each service, the number of replicas that must have received
	// a commit before it is acknowledged.
	SyncReplicas map[model.ServiceID]int
	// InvalidServices are the services whose part of the configuration can't be read, so that their limits
	// aren't known. No route leads to them.
	InvalidServices map[model.ServiceID]bool
	// ColdStarts say, for each service, how much its servers can take after their start.
	ColdStarts map[model.ServiceID]ColdStart
	// MaxIdle is the longest time between two statements of a transaction. Zero means no
	// limit.
	MaxIdle time.Duration
}

// Plan is one version of the configuration. It is immutable.
type Plan struct {
	contents Config
}

// New returns a plan with the given contents. It doesn't copy the maps, so the caller
// must not modify them afterwards.
func New(c Config) *Plan { return &Plan{contents: c} }

// Version returns the version of the configuration.
func (p *Plan) Version() uint64 { return p.contents.Version }

// Route returns the route of a database name, and false if there is none.
func (p *Plan) Route(database string) (Route, bool) {
	r, ok := p.contents.Routes[database]
	return r, ok
}

// AccountByKey returns the account that a key belongs to, and false if the key is unknown
// or its account is not declared.
func (p *Plan) AccountByKey(key string) (Account, bool) {
	id, ok := p.contents.Keys[key]
	if !ok {
		return Account{}, false
	}
	return p.Account(id)
}

// Account returns the account with the given identifier, and false if there is none.
func (p *Plan) Account(id model.AccountID) (Account, bool) {
	a, ok := p.contents.Accounts[id]
	return a, ok
}

// Homes returns the regions to which a route or an account is restricted, each once and in order.
func (p *Plan) Homes() []model.Region {
	found := map[model.Region]bool{}
	add := func(homes []model.Region) {
		for _, region := range homes {
			found[region] = true
		}
	}
	for _, r := range p.contents.Routes {
		add(r.Homes)
	}
	for _, a := range p.contents.Accounts {
		add(a.Homes)
	}
	return slices.Sorted(maps.Keys(found))
}

// Accounts returns the number of client accounts.
func (p *Plan) Accounts() int { return len(p.contents.Accounts) }

// Connections returns the number of connections that each server of a service accepts.
// Zero means that the configuration doesn't specify it.
func (p *Plan) Connections(service model.ServiceID) int { return p.contents.Connections[service] }

// SyncReplicas returns the number of replicas of a service that must have received a
// commit before it is acknowledged.
func (p *Plan) SyncReplicas(service model.ServiceID) int { return p.contents.SyncReplicas[service] }

// Invalid reports whether the configuration of a service can't be read, so that its limits aren't known.
func (p *Plan) Invalid(service model.ServiceID) bool { return p.contents.InvalidServices[service] }

// Knows reports whether the configuration names a service and its limits are known. Servers may register
// themselves for any other one.
func (p *Plan) Knows(service model.ServiceID) bool {
	if p.Invalid(service) {
		return false
	}
	if _, ok := p.contents.Connections[service]; ok {
		return true
	}
	for _, r := range p.contents.Routes {
		if r.Service == service {
			return true
		}
	}
	return false
}

// ColdStart returns how much the servers of a service can take after their start.
func (p *Plan) ColdStart(service model.ServiceID) ColdStart { return p.contents.ColdStarts[service] }

// MaxIdle returns the longest time between two statements of a transaction, or zero for
// no limit.
func (p *Plan) MaxIdle() time.Duration { return p.contents.MaxIdle }
