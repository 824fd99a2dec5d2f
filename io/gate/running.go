package gate

import (
	"context"
	"errors"

	"pomelofork/core/term"
)

// errServerUnreachable is the cause of cancelling a statement on an unreachable server.
var errServerUnreachable = errors.New("backend server unreachable")

// track registers an attempt as running, so that abortUnreachable can cancel its context.
// The returned function ends the registration.
func (g *Gateway) track(ctx context.Context, a *attempt) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	g.mu.Lock()
	a.grant.server.running[a] = cancel
	g.mu.Unlock()
	return ctx, func() {
		g.mu.Lock()
		delete(a.grant.server.running, a)
		g.mu.Unlock()
		cancel(nil)
	}
}

// abortUnreachable cancels attempts at unreachable servers: all reads, and writes if the
// server was chosen as primary and has been replaced, since a replaced primary can't confirm
// them any more. Other writes continue, because after an abort their outcome would be
// unknown. The caller holds the lock.
func (g *Gateway) abortUnreachable(known term.Snapshot) {
	for id, s := range g.servers {
		view, ok := known.Server(id)
		if !ok || view.Reachable {
			continue
		}
		for a, cancel := range s.running {
			if a.stream.reads() || (a.pick.Primary && known.Term() > a.pick.Term) {
				cancel(errServerUnreachable)
			}
		}
	}
}
