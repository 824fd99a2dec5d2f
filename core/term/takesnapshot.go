package term

import (
	"time"

	"pomelofork/core/model"
)

// Snapshot returns what is known at present.
//
// There is no primary while a replaced one has no successor yet, and while an attempt
// to begin a new term runs. During a planned change the primary counts as leaving, so
// that it gets no new work. Before that it never does, even if it asks to leave, as
// no other server could take its work.
func (m *Machine) Snapshot(now time.Time) Snapshot {
	views := make(map[model.ServerID]ServerView, len(m.order))
	for _, id := range m.order {
		r := m.records[id]
		leading := id == m.leader.server
		views[id] = ServerView{
			ID:          id,
			RequestedAt: r.requestedAt,
			Applied:     r.status.Applied,
			Log:         r.status.Log,
			Promised:    r.promised,
			Primary:     r.status.Primary,
			Reachable:   r.reachable(now, m.timing.UnreachableAfter),
			Leaving:     r.leaving() && !leading || leading && m.drain.active,
			FreshAsOf:   r.freshAsOf,
		}
	}
	primary, newest := m.leader.server, m.leader.term
	if m.attempt != nil {
		primary = ""
	}
	if m.leader.server == "" {
		newest = m.newest()
	}
	return NewSnapshot(SnapshotConfig{
		Primary: primary, Term: newest, Confirmed: m.confirmed, Committed: m.committed, Servers: views,
	})
}
