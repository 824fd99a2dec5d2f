package view

import (
	"context"
	"log/slog"

	"pomelofork/io/clock"
	"pomelofork/io/store"
)

// Confirm asks the source that last answered, without a wait, whether the state is complete. If there
// are changes, it does nothing: the query under way returns them as well.
func (v *View) Confirm(ctx context.Context) {
	v.mu.Lock()
	source := v.lastSource
	v.mu.Unlock()
	after := v.Revision()
	if source == nil || after == 0 {
		return
	}
	sent := clock.Now()
	update, err := source.Fetch(ctx, Query{After: after, CheckOnly: true})
	if err != nil {
		v.config.Log.LogAttrs(ctx, slog.LevelInfo, "state not confirmed", slog.String("source", source.Name()), slog.String("error", err.Error()))
		return
	}
	if len(update.Entries) > 0 || update.All || update.Revision > after || store.Era(update.Revision) != store.Era(after) {
		return
	}
	v.confirm(clock.Now(), sent.Add(-update.Age))
}
