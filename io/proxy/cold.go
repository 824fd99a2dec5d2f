package proxy

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/ramp"
	"pomelofork/io/pooler"
	"pomelofork/io/view"
)

// probeStarts is the number of commands by which the monitor of a primary and, on its behalf, the primary's
// gateway may probe it in a second: a BEGIN and a ROLLBACK four times each.
const probeStarts = 16

// coldGateways is what an instance knows of its role as the gateway of servers that may be cold. The
// lock of the node guards it. The zero value knows nothing.
type coldGateways struct {
	// members records since when no instance has registered or gone, so that the order of holders of
	// every server has been the same.
	members ramp.Tenure
	// tenures are those of the servers for which this instance has a pool.
	tenures map[model.ServerID]*ramp.Tenure
	// usedUntil is when the last pool of a server was closed.
	usedUntil map[model.ServerID]time.Time
}

// poolClosed records that the pool of a server was closed.
func (g *coldGateways) poolClosed(now time.Time, id model.ServerID) {
	if g.usedUntil == nil {
		g.usedUntil = map[model.ServerID]time.Time{}
	}
	g.usedUntil[id] = now
	delete(g.tenures, id)
}

// observeMembers records whether the order of holders may have changed. The caller holds the lock.
func (n *Node) observeMembers(now time.Time, s *view.State) {
	confirmed, _ := n.view.CompleteAsOf()
	order := s.ChangeCounts.Instances
	for _, evacuation := range s.Evacuations {
		order += evacuation.Revision
	}
	n.cold.members.Observe(now, ramp.View{First: true, Registration: order, Confirmed: confirmed})
}

// coldLimit returns the number of statements that a server may get in any second while it is cold. It
// returns false if there is no limit.
func (n *Node) coldLimit(s *view.State, server plan.Server) (int, bool) {
	if n.config.ColdLimit == (ramp.Limit{}) || s.Plan == nil || !s.Plan.ColdStart(server.Service).Stated() {
		return 0, false
	}
	limit := n.config.ColdLimit.Max(s.Plan.ColdStart(server.Service).PerSecond)
	if server.Primary {
		limit -= min(probeStarts, limit/2)
	}
	return limit, true
}

// coldClaim returns what entitles this instance to send statements to a server while that is cold. The
// caller holds the lock.
func (n *Node) coldClaim(now time.Time, s *view.State, server plan.Server) ramp.Claim {
	limit, limited := n.coldLimit(s, server)
	if !limited {
		return ramp.Claim{}
	}
	confirmed, _ := n.view.CompleteAsOf()
	holders := n.holdersLocked(server)
	first := len(holders) > 0 && holders[0].ID == n.config.Self.ID
	seen := ramp.View{First: first, Registration: s.Instances[n.config.Self.ID].Revision, Confirmed: confirmed}
	tenure, ok := n.cold.tenures[server.ID]
	if !ok {
		if n.cold.tenures == nil {
			n.cold.tenures = map[model.ServerID]*ramp.Tenure{}
		}
		tenure = ramp.NewTenure(n.cold.members, seen)
		n.cold.tenures[server.ID] = tenure
	}
	coldFor := s.Plan.ColdStart(server.Service).Duration
	was := tenure.Claim(limit, coldFor)
	tenure.Observe(now, seen)
	claim := tenure.Claim(limit, coldFor)
	if server.Cold(now) && was.First != claim.First {
		n.config.Log.LogAttrs(context.Background(), slog.LevelInfo, "role as the gateway of a cold server changed", slog.String("server", string(server.ID)),
			slog.Bool("gateway", claim.First), slog.Int("limit", limit), slog.Duration("view_age", now.Sub(confirmed)))
	}
	return claim
}

// confirmStarts has the view confirmed if a server gets only a part of what it could take until then. The
// next confirmation by a watch may be a second away.
func (n *Node) confirmStarts(now time.Time) {
	if n.config.ColdLimit == (ramp.Limit{}) || !slices.ContainsFunc(n.openPools(), func(p *pooler.Pool) bool { return p.StartUnconfirmed(now) }) {
		return
	}
	n.guardsMu.Lock()
	defer n.guardsMu.Unlock()
	n.queryView(now)
}

// updateClaims tells each pool what entitles this instance to send statements to a cold server.
func (n *Node) updateClaims(now time.Time) {
	if n.config.ColdLimit == (ramp.Limit{}) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	// A state that is newer than the one that was applied is confirmed only after it was applied, for
	// which the lock is needed.
	s := n.view.State()
	n.observeMembers(now, s)
	for id, pool := range n.pools {
		if server, ok := s.Servers[id]; ok {
			pool.Cold(now, n.coldClaim(now, s, server))
		}
	}
}
