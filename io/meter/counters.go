package meter

import (
	"sync"
	"time"
)

// accountCounters are the metrics of one client account.
type accountCounters struct {
	// Served counts units of work that got a complete answer.
	Served metric `json:"served"`
	// RefusedByRate counts units refused because the account's rate was exceeded.
	RefusedByRate metric `json:"refused_by_rate"`
	// RefusedByCaller counts units refused because of an error of the caller, which no
	// state of the system could have served.
	RefusedByCaller metric `json:"refused_by_caller"`
	// Failed counts units refused for a reason within the system, which would have been
	// served otherwise.
	Failed metric `json:"failed"`
	// BusyUS is the sum of the durations of all units, in microseconds.
	BusyUS metric `json:"busy_us"`
}

// routeCounters are the metrics of one route. Refused counts units refused because of the
// account's rate or an error of the caller; ByReplica counts served units that a replica
// answered.
type routeCounters struct {
	Served    metric `json:"served"`
	Refused   metric `json:"refused"`
	Failed    metric `json:"failed"`
	ByReplica metric `json:"by_replica"`
}

// serverCounters are the metrics of one backend server. Connections is the number of open
// connections to it, Busy the number of those that run a statement.
type serverCounters struct {
	Units       metric `json:"units"`
	Failed      metric `json:"failed"`
	Connections metric `json:"connections"`
	Busy        metric `json:"busy"`
}

// rightCounters are the metrics of one right. Held is 1 while this instance holds the right
// and 0 otherwise; Changes counts how often Held changed.
type rightCounters struct {
	Held    metric `json:"held"`
	Epoch   metric `json:"epoch"`
	Changes metric `json:"changes"`
}

// termCounters are the metrics of one service. Term is the highest known term, and Changes
// counts how often it grew. A gap is a time of at least minGap in which writes waited and
// none was acknowledged; GapMS is the sum of all gaps and WorstGapMS the longest, in
// milliseconds.
type termCounters struct {
	Term       metric `json:"term"`
	Changes    metric `json:"changes"`
	WritesOK   metric `json:"writes_ok"`
	Gaps       metric `json:"gaps"`
	GapMS      metric `json:"gap_ms"`
	WorstGapMS metric `json:"worst_gap_ms"`

	mu      sync.Mutex
	lastAck time.Time
}

// minGap is the shortest time without an acknowledged write that counts as a gap. Under high
// load, a write may wait almost this long in a queue without any failure.
const minGap = 250 * time.Millisecond

// acknowledge counts a write that was acknowledged now and had arrived at started. A gap
// before it is counted from the later of started and the last acknowledged write.
func (t *termCounters) acknowledge(now, started time.Time) {
	t.WritesOK.add(1)
	t.mu.Lock()
	since := t.lastAck
	if started.After(since) {
		since = started
	}
	t.lastAck = now
	t.mu.Unlock()
	gap := now.Sub(since)
	if gap < minGap {
		return
	}
	t.Gaps.add(1)
	t.GapMS.add(gap.Milliseconds())
	t.WorstGapMS.setMax(gap.Milliseconds())
}
