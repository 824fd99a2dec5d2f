package view

import (
	"context"
	"log/slog"
	"time"

	"pomelofork/core/plan"
)

// coldUntil returns the time until which a server is cold, from its present entry and what was known
// before. The latest known end holds.
func (v *View) coldUntil(ctx context.Context, b *stateBuilder, server plan.Server) time.Time {
	former, known := b.next.Servers[server.ID]
	if gone, ok := v.restore.gone[server.ID]; ok && !known {
		former.Report, former.ColdUntil, known = gone.report, gone.coldUntil, true
	}
	var start plan.ColdStart
	if b.next.Plan != nil {
		start = b.next.Plan.ColdStart(server.Service)
	}
	until := coldEnd(b.now, server, former, known, start)
	if b.now.Before(until) && !former.Cold(b.now) {
		v.config.Log.LogAttrs(ctx, slog.LevelInfo, "backend server is cold", slog.String("server", string(server.ID)), slog.Duration("for", until.Sub(b.now)),
			slog.Duration("by_its_entry", server.ColdFor), slog.Bool("started_again", known && former.Report.StartedAt.Before(server.Report.StartedAt)))
	}
	return until
}

// coldEnd computes the result of coldUntil. An entry that is read again says nothing new. A process
// that started after the known one is cold even if its entry doesn't say so, and so is one that isn't
// known and whose entry says something invalid.
func coldEnd(now time.Time, server, former plan.Server, known bool, start plan.ColdStart) time.Time {
	var stated time.Time
	if server.ColdFor > 0 {
		stated = now.Add(server.ColdFor)
	}
	started := !known && server.ColdFor < 0
	if known {
		started = former.Report.StartedAt.Before(server.Report.StartedAt)
	}
	switch {
	case known && former.Report == server.Report:
		return former.ColdUntil
	case started && start.Stated() && start.Duration > server.ColdFor:
		return now.Add(start.Duration)
	case known && !started && stated.Before(former.ColdUntil):
		return former.ColdUntil
	default:
		return stated
	}
}
