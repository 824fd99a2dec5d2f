package lead

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"pomelofork/core/plan"
	"pomelofork/core/promo"
	"pomelofork/io/clock"
	"pomelofork/io/pooler"
	"pomelofork/io/sock"
)

// absent are the servers that hold a copy of the log and have no entry.
type absent struct {
	mu      sync.Mutex
	tracker promo.Absences
}

// endedCopies returns the recorded copies whose processes have ended. It has those tried in the
// background that have no entry.
func (m *Monitor) endedCopies(ctx context.Context, now time.Time) []promo.Copy {
	if syncReplicas, _ := m.syncReplicas(); syncReplicas == 0 {
		return nil
	}
	state := m.config.View.State()
	copies := state.Copies[m.config.Service]
	missing := copies.Absent(state.Servers)
	m.absent.mu.Lock()
	defer m.absent.mu.Unlock()
	for _, c := range m.absent.tracker.Due(now, missing) {
		server := plan.Server{ID: c.Server, Service: m.config.Service, Address: c.Address, EvacuatedSince: state.Evacuations[c.Domain].Since}
		if !m.sealed(now, server) {
			go func() { m.tryAbsent(ctx, server) }()
		}
	}
	return append(copies.Ended(state.Servers), m.absent.tracker.Ended(now, missing)...)
}

// forget forgets since when servers have not answered: nobody has tried them while this instance doesn't
// hold the right.
func (a *absent) forget() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tracker = promo.Absences{}
}

// tryAbsent finds out whether a server without an entry answers at its last known address. Only a
// server with its ID accepts the connection.
func (m *Monitor) tryAbsent(ctx context.Context, server plan.Server) {
	began := clock.Now()
	conn, err := m.dial(ctx, server, statusTimeout)
	if err == nil {
		// An error doesn't matter, since the connection is not used again.
		_ = conn.Close()
	}
	if sock.Exhausted(err) {
		m.config.Log.LogAttrs(ctx, slog.LevelWarn, "cannot try to reach a server without an entry", slog.String("server", string(server.ID)), slog.String("error", err.Error()))
		return
	}
	answered := Reached(err)
	m.absent.mu.Lock()
	m.absent.tracker.Tried(began, server.ID, answered, errors.Is(err, pooler.ErrMoved))
	m.absent.mu.Unlock()
	m.config.Log.LogAttrs(ctx, slog.LevelInfo, "tried to reach a server without an entry", slog.String("server", string(server.ID)), slog.Bool("answered", answered))
}
