package right

import (
	"context"
	"log/slog"
	"time"

	"pomelofork/core/pace"
)

// spread gives patient rights away when this instance holds far more than its share: the
// first instances of a fleet take all rights before the others are there.
func (k *Keeper) spread(ctx context.Context, now time.Time) {
	if now.Sub(k.shed) < shedEvery {
		return
	}
	k.shed = now
	size := len(k.config.View.State().Instances)
	k.mu.Lock()
	var movable []string
	for name, h := range k.held {
		if h.patient {
			movable = append(movable, name)
		}
	}
	excess := min(pace.Excess(len(k.held), k.wants, size), len(movable), maxEntries)
	live := now.Before(k.until) && !k.leaving
	k.mu.Unlock()
	if excess == 0 || !live {
		return
	}
	k.config.Log.LogAttrs(ctx, slog.LevelInfo, "holds more rights than others", slog.Int("rights", len(movable)), slog.Int("instances", size), slog.Int("to_move", excess))
	k.handOver(ctx, movable[:excess])
}
