package view

import (
	"context"
	"log/slog"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/io/clock"
)

// removeServer applies the removal of a server's entry. During an outage of the sources the
// removal is checked again after expiryGrace.
func (v *View) removeServer(ctx context.Context, now time.Time, b *stateBuilder, id model.ServerID) {
	server, ok := b.next.Servers[id]
	if !ok {
		return
	}
	if now.Sub(v.lastFailure) < expiryGrace && !server.Draining {
		// The entry may have expired only because of the outage. The server is removed later,
		// unless its entry has been written again by then.
		time.AfterFunc(expiryGrace, func() { v.removeIfUnchanged(ctx, id, server.Revision) })
		return
	}
	v.rememberGone(now, server)
	v.config.Log.LogAttrs(ctx, slog.LevelInfo, "server gone: its entry was removed", slog.String("server", string(id)), slog.String("service", string(server.Service)))
	b.removeServer(id)
}

// removeIfUnchanged removes a server if its entry has not been written again, which would have
// changed its revision.
func (v *View) removeIfUnchanged(ctx context.Context, id model.ServerID, revision uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	current := v.state.Load()
	if server, ok := current.Servers[id]; !ok || server.Revision != revision {
		return
	}
	now := clock.Now()
	b := newStateBuilder(now, current)
	v.rememberGone(now, current.Servers[id])
	b.removeServer(id)
	v.config.Log.LogAttrs(ctx, slog.LevelInfo, "server gone: its entry was removed and not written again", slog.String("server", string(id)))
	v.state.Store(&b.next)
	v.config.Changed(b.next)
}

// drainingSince returns since when a server drains that wasn't known as draining: an entry that couldn't be
// decoded, or the loss of one, doesn't begin the time anew.
func (v *View) drainingSince(now time.Time, server plan.Server) time.Time {
	if gone, ok := v.restore.gone[server.ID]; ok && !gone.drainingSince.IsZero() && gone.report.StartedAt.Equal(server.Report.StartedAt) {
		return gone.drainingSince
	}
	return now
}
