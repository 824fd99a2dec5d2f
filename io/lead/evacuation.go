package lead

import (
	"time"

	"pomelofork/core/evac"
	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/promo"
)

// logEnd is a point up to which a server is known to have had the log as the primary.
type logEnd struct {
	server model.ServerID
	point  model.Point
}

// turn is when a primary in an evacuated failure domain is replaced.
type turn struct {
	server model.ServerID
	// since is the beginning of the evacuation.
	since time.Time
	at    time.Time
}

// takeTurn returns when the primary is replaced because its failure domain is evacuated. The turn is
// taken once for each evacuation, since the number of primaries that are left shrinks. If the domain is
// closed already, the turns count from now: many monitors may learn of it at the same time. It returns
// the zero time if the domain isn't evacuated.
func (m *Monitor) takeTurn(now time.Time, primary plan.Server) time.Time {
	if !primary.Evacuated() {
		m.turn = turn{}
	} else if m.turn.server != primary.ID || !m.turn.since.Equal(primary.EvacuatedSince) {
		var services []model.ServiceID
		for service, servers := range m.config.View.State().Services {
			for _, s := range servers {
				if s.Primary && s.Evacuated() {
					services = append(services, service)
					break
				}
			}
		}
		from := primary.EvacuatedSince
		if m.config.Evacuation.Closed(now, from) {
			from = now
		}
		m.turn = turn{primary.ID, primary.EvacuatedSince, m.config.Evacuation.HandOverAt(from, m.config.Service, services)}
	}
	return m.turn.at
}

// sealed reports whether nothing may be sent to a server because its failure domain is evacuated.
func (m *Monitor) sealed(now time.Time, server plan.Server) bool {
	return m.config.Evacuation.Phase(now, server.EvacuatedSince) >= evac.PhaseSealed
}

// evacuatedFormer returns the former primary if its failure domain is evacuated.
func evacuatedFormer(decision promo.Decision, servers []plan.Server) (plan.Server, bool) {
	for _, s := range servers {
		if s.ID == decision.Former && s.Evacuated() {
			return s, true
		}
	}
	return plan.Server{}, false
}

// floorOf returns the point up to which a former primary in an evacuated failure domain is known to
// have the log: where it stepped down, or what it reported last if callers have sent it nothing since
// its domain was closed.
func (m *Monitor) floorOf(now time.Time, former plan.Server) model.Point {
	var floor model.Point
	if m.steppedDown.server == former.ID {
		floor = m.steppedDown.point
	}
	if m.reported.server == former.ID && m.config.Evacuation.Closed(now, former.EvacuatedSince) && floor.Less(m.reported.point) {
		floor = m.reported.point
	}
	return floor
}
