package proxy

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pomelofork/core/level"
	"pomelofork/core/model"
	"pomelofork/core/stmt"
	"pomelofork/io/logs"
)

// The range of the latency histograms in microseconds, and their precision in decimal
// digits.
const (
	lowestLatency  = 50
	highestLatency = 10_000_000
	latencyDigits  = 2
)

const (
	// maxRoutes and maxDomains bound the routes and the failure domains that have counters of their own. The
	// configuration changes their names, and what was counted once stays.
	maxRoutes  = 1000
	maxDomains = 100
	// otherRoutes and otherDomains stand for those beyond these bounds.
	otherRoutes  = "other routes"
	otherDomains = "other domains"
)

// meter counts answers, retries and calls to the store, and serves the counts as text.
type meter struct {
	mu       sync.Mutex
	answers  map[string]int64
	repeated map[string]int64
	calls    map[string]int64
	// evacuated is the number of evacuated failure domains.
	evacuated int
	// coldRefusals counts the statements that cold servers could not take in time.
	coldRefusals int64
	// beliefs counts the changes of the belief about failure domains.
	beliefs map[string]int64
	queue   map[string]int64
	// decisions are those that entries take where callers compete for capacity.
	decisions map[string]int64
	// undecoded counts what peers sent that this instance couldn't decode, and the reverse.
	undecoded map[string]int64
	// fleetLevel is the level of the fleet, and behind the number of instances that hold it back.
	fleetLevel, behind int
	// latency has a histogram for each route.
	latency map[string]*hdrhistogram.Histogram
	domains map[model.Domain]bool
	// remembered returns what the entry remembers from one statement to the next. It is nil until there is one.
	remembered func() (counts map[string]int, sessionBytes int64)
}

func newMeter() *meter {
	return &meter{answers: map[string]int64{}, repeated: map[string]int64{}, calls: map[string]int64{}, beliefs: map[string]int64{}, queue: map[string]int64{}, decisions: map[string]int64{}, undecoded: map[string]int64{}, latency: map[string]*hdrhistogram.Histogram{}, domains: map[model.Domain]bool{}}
}

// Statement implements entry.Meter.
func (m *meter) Statement(route string, code stmt.Code, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	route = logs.Shortened(route)
	h, ok := m.latency[route]
	if !ok && len(m.latency) >= maxRoutes {
		route = otherRoutes
		h, ok = m.latency[route]
	}
	m.answers[fmt.Sprintf("statements{route=%q,code=%q}", route, code)]++
	if !ok {
		h = hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
		m.latency[route] = h
	}
	// A latency outside the range counts as the nearest bound, so recording does not fail.
	_ = h.RecordValue(min(max(took.Microseconds(), lowestLatency), highestLatency))
}

// SetRemembered sets the function that returns what is remembered from one statement to the next.
func (m *meter) SetRemembered(remembered func() (counts map[string]int, sessionBytes int64)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.remembered = remembered
}

// Repeated implements entry.Meter.
func (m *meter) Repeated(code stmt.Code) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.repeated[fmt.Sprintf("attempts_repeated{code=%q}", code)]++
}

// Decision counts a decision about a statement by its reason and the priority of its route.
func (m *meter) Decision(reason string, priority int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decisions[fmt.Sprintf("entry_decisions{reason=%q,priority=\"%d\"}", reason, priority)]++
}

// ColdRefused counts a statement that a cold server couldn't take in time.
func (m *meter) ColdRefused() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.coldRefusals++
}

// Queue counts a decision about a statement that waits for a server.
func (m *meter) Queue(outcome string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.queue[fmt.Sprintf("queue_decisions{outcome=%q}", outcome)]++
}

// StoreCall counts a call to the store by its name and outcome.
func (m *meter) StoreCall(call, outcome string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls[fmt.Sprintf("store_calls{call=%q,outcome=%q}", call, outcome)]++
}

// Undecoded counts a request or the start of a connection that this instance couldn't decode, or a call
// that a peer couldn't decode, by its method.
func (m *meter) Undecoded(what string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.undecoded[fmt.Sprintf("undecoded_calls{what=%q}", what)]++
}

// SetLevel records the level of the fleet and the number of instances that hold it back.
func (m *meter) SetLevel(fleet, behind int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleetLevel, m.behind = fleet, behind
}

// SetEvacuated records the number of evacuated failure domains.
func (m *meter) SetEvacuated(domains int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evacuated = domains
}

// DomainBelief counts that a failure domain is now suspected or lost, or no longer suspected.
func (m *meter) DomainBelief(domain model.Domain, belief string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if domain = model.Domain(logs.Shortened(string(domain))); !m.domains[domain] && len(m.domains) >= maxDomains {
		domain = otherDomains
	}
	m.domains[domain] = true
	m.beliefs[fmt.Sprintf("domain_beliefs{domain=%q,belief=%q}", domain, belief)]++
}

// ServeHTTP writes one counter per line, and the quantiles of each route's latency.
func (m *meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	lines := []string{
		fmt.Sprintf("pomelofork_evacuated_domains %d\n", m.evacuated), fmt.Sprintf("pomelofork_fleet_level %d\n", m.fleetLevel),
		fmt.Sprintf("pomelofork_own_level %d\n", level.Newest), fmt.Sprintf("pomelofork_instances_behind %d\n", m.behind),
	}
	for _, counters := range []map[string]int64{m.answers, m.repeated, m.calls, m.beliefs, m.queue, m.decisions, m.undecoded} {
		for name, n := range counters {
			lines = append(lines, fmt.Sprintf("pomelofork_%s %d\n", name, n))
		}
	}
	for route, h := range m.latency {
		for _, q := range []float64{50, 90, 99, 100} {
			lines = append(lines, fmt.Sprintf("pomelofork_latency_us{route=%q,quantile=\"%g\"} %d\n", route, q, h.ValueAtQuantile(q)))
		}
	}
	lines = append(lines, fmt.Sprintf("pomelofork_cold_refusals %d\n", m.coldRefusals))
	remembered := m.remembered
	m.mu.Unlock()
	if remembered != nil {
		counts, bytes := remembered()
		for what, n := range counts {
			lines = append(lines, fmt.Sprintf("pomelofork_remembered{what=%q} %d\n", what, n))
		}
		lines = append(lines, fmt.Sprintf("pomelofork_session_bytes %d\n", bytes))
	}
	slices.Sort(lines)
	for _, line := range lines {
		if _, err := w.Write([]byte(line)); err != nil {
			return
		}
	}
}
