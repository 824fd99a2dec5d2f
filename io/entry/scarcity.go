package entry

import (
	"context"
	"log/slog"
	"time"

	"pomelofork/core/keep"
	"pomelofork/core/model"
	"pomelofork/core/place"
)

// openingCost returns the expected cost of a read at a server that its account doesn't usually read from. It
// is zero unless openings take much of the candidates' time, as their gateways report. The caller holds the
// lock.
func (e *Entry) openingCost(now time.Time, service model.ServiceID, candidates []place.Candidate) time.Duration {
	current := e.config.View.State().Plan
	if current == nil || len(candidates) == 0 {
		return 0
	}
	cost := place.OpeningCost(current.Accounts(), keep.Usable(current.Connections(service)))
	if cost == 0 {
		return 0
	}
	share, reports := 0.0, 0
	for _, c := range candidates {
		if stats := e.stats(now, c.Server.ID); stats.openingReported {
			share += stats.openingShare
			reports++
		}
	}
	if reports > 0 {
		share /= float64(reports)
	}
	scarce, changed := e.scarcities.Get(now, service).Update(share)
	if changed {
		e.config.Log.LogAttrs(context.Background(), slog.LevelInfo, "belief about the connections of a service changed", slog.String("service", string(service)),
			slog.Bool("scarce", scarce), slog.Float64("opening_share", share), slog.Int("accounts", current.Accounts()), slog.Duration("opening_cost", cost))
	}
	if !scarce {
		return 0
	}
	return cost
}
