package meter

import (
	"sync"
	"time"
)

// accountCounters belong to one client account.
type accountCounters struct {
	// Served counts units of work with a whole answer.
	Served count `json:"served"`
	// RefusedByRate counts units turned away by the account's rate.
	RefusedByRate count `json:"refused_by_rate"`
	// RefusedByCaller counts units that no state of the system could have served.
	RefusedByCaller count `json:"refused_by_caller"`
	// Failed counts units that the system owed an answer and gave none.
	Failed count `json:"failed"`
	// BusyUS sums up the time of all units in microseconds.
	BusyUS count `json:"busy_us"`
}

// routeCounters belong to one route.
type routeCounters struct {
	Served    count `json:"served"`
	Refused   count `json:"refused"`
	Failed    count `json:"failed"`
	ByReplica count `json:"by_replica"`
}

// serverCounters belong to one backend server.
type serverCounters struct {
	Units       count `json:"units"`
	Failed      count `json:"failed"`
	Connections count `json:"connections"`
	Busy        count `json:"busy"`
}

// rightCounters belong to one right that this instance may hold.
type rightCounters struct {
	Held    count `json:"held"`
	Epoch   count `json:"epoch"`
	Changes count `json:"changes"`
}

// termCounters belong to one service.
type termCounters struct {
	Term       count `json:"term"`
	Changes    count `json:"changes"`
	WritesOK   count `json:"writes_ok"`
	Gaps       count `json:"gaps"`
	GapMS      count `json:"gap_ms"`
	WorstGapMS count `json:"worst_gap_ms"`

	mu      sync.Mutex
	lastAck time.Time
}

// leastGap is the shortest time without an acknowledged write that counts as a gap.
// A write can take this long in a queue on a busy day.
const leastGap = 250 * time.Millisecond

// acknowledge counts an acknowledged write that was offered at the given time.
func (t *termCounters) acknowledge(now, offered time.Time) {
	t.WritesOK.add(1)
	t.mu.Lock()
	since := t.lastAck
	if offered.After(since) {
		since = offered
	}
	t.lastAck = now
	t.mu.Unlock()
	gap := now.Sub(since)
	if gap < leastGap {
		return
	}
	t.Gaps.add(1)
	t.GapMS.add(gap.Milliseconds())
	t.WorstGapMS.raise(gap.Milliseconds())
}
