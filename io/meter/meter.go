package meter

import (
	"encoding/json"
	"expvar"
	"time"

	"pomelofork/core/model"
)

// Name is the name of the expvar variable.
const Name = "pomelofork"

// defaultLimit is the default limit of names in each family. It leaves room for the accounts
// and routes of a fleet and keeps the published JSON below a megabyte.
const defaultLimit = 2000

// Config holds the settings of a meter.
type Config struct {
	// Instance is the instance that the metrics belong to.
	Instance model.InstanceID
	// Limit bounds the number of names in each family. Zero means 2,000.
	Limit int
}

// Meter holds the metrics of one instance. All methods may be called concurrently. On a nil
// meter, CountUnit and the setters do nothing.
type Meter struct {
	instance model.InstanceID
	accounts *family[accountCounters]
	routes   *family[routeCounters]
	servers  *family[serverCounters]
	rights   *family[rightCounters]
	services *family[termCounters]
	rates    *rates
}

// New returns a meter without metrics. Each is created when it is first counted or set.
func New(c Config) *Meter {
	limit := c.Limit
	if limit == 0 {
		limit = defaultLimit
	}
	return &Meter{
		instance: c.Instance,
		accounts: newFamily[accountCounters](limit),
		routes:   newFamily[routeCounters](limit),
		servers:  newFamily[serverCounters](limit),
		rights:   newFamily[rightCounters](limit),
		services: newFamily[termCounters](limit),
		rates:    &rates{limit: limit},
	}
}

// Publish publishes the meter as an expvar variable, which is served at /debug/vars. It
// panics if it is called twice in a process.
func (m *Meter) Publish() { expvar.Publish(Name, m) }

// snapshot is the JSON encoding of a meter.
type snapshot struct {
	Instance model.InstanceID         `json:"instance"`
	Accounts *family[accountCounters] `json:"accounts"`
	Routes   *family[routeCounters]   `json:"routes"`
	Servers  *family[serverCounters]  `json:"servers"`
	Rights   *family[rightCounters]   `json:"rights"`
	Services *family[termCounters]    `json:"services"`
	Rates    *rates                   `json:"rates"`
}

// String implements expvar.Var. It returns the metrics as JSON.
func (m *Meter) String() string {
	text, err := json.Marshal(snapshot{m.instance, m.accounts, m.routes, m.servers, m.rights, m.services, m.rates})
	if err != nil {
		return "null"
	}
	return string(text)
}

// CountUnit counts one finished unit of work for its account, its route, its backend server
// and, if it is an acknowledged write, its service.
func (m *Meter) CountUnit(now time.Time, u Unit) {
	if m == nil {
		return
	}
	m.countAccount(now, u)
	m.countRoute(u)
	if u.Server != "" {
		server := m.servers.get(string(u.Server))
		server.Units.add(1)
		if outcomeOf(u.Reason) == outcomeSystemError {
			server.Failed.add(1)
		}
	}
	if u.Reason == 0 && u.Access == model.AccessWrite {
		m.services.get(string(u.Service)).acknowledge(now, u.Started)
	}
}

// countAccount counts a unit of work for its client account.
func (m *Meter) countAccount(now time.Time, u Unit) {
	account := m.accounts.get(string(u.Account))
	account.BusyUS.add(now.Sub(u.Started).Microseconds())
	switch outcomeOf(u.Reason) {
	case outcomeServed:
		account.Served.add(1)
	case outcomeRateExceeded:
		account.RefusedByRate.add(1)
	case outcomeCallerError:
		account.RefusedByCaller.add(1)
	default:
		account.Failed.add(1)
	}
}

// countRoute counts a unit of work for its route.
func (m *Meter) countRoute(u Unit) {
	route := m.routes.get(string(u.Route))
	switch outcomeOf(u.Reason) {
	case outcomeServed:
		route.Served.add(1)
		if u.Replica {
			route.ByReplica.add(1)
		}
	case outcomeSystemError:
		route.Failed.add(1)
	default:
		route.Refused.add(1)
	}
}

// SetConnections sets how many connections to a backend server this instance has open and
// how many of them run a statement.
func (m *Meter) SetConnections(server model.ServerID, connections, busy int) {
	if m == nil {
		return
	}
	counters := m.servers.get(string(server))
	counters.Connections.set(int64(connections))
	counters.Busy.set(int64(busy))
}

// SetRight sets whether this instance holds a right, and at which epoch of the record of
// rights.
func (m *Meter) SetRight(name string, held bool, epoch uint64) {
	if m == nil {
		return
	}
	right := m.rights.get(name)
	value := int64(0)
	if held {
		value = 1
	}
	if right.Held.n.Swap(value) != value {
		right.Changes.add(1)
	}
	right.Epoch.set(int64(epoch))
}

// SetTerm sets the newest term of a service. A term below the highest set so far is ignored.
func (m *Meter) SetTerm(service model.ServiceID, term model.Term) {
	if m == nil {
		return
	}
	counters := m.services.get(string(service))
	if before := counters.Term.n.Load(); before != 0 && int64(term) > before {
		counters.Changes.add(1)
	}
	counters.Term.setMax(int64(term))
}

// SetRate sets the rate and the burst of a client account that are in force, in tokens per
// second and in tokens.
func (m *Meter) SetRate(account model.AccountID, perSecond, burst float64) {
	if m == nil {
		return
	}
	m.rates.set(account, perSecond, burst)
}
