package group

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// cancelLimit is the time allowed for a cancel request.
const cancelLimit = 200 * time.Millisecond

// cancelAgain is the wait before the next one.
const cancelAgain = time.Millisecond

// hold notes the connection whose question the server may hold back.
func (p *poller) hold(c *pgconn.PgConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = c
}

// cancelOnDemand ends held-back questions by cancel requests, so that the one
// connection is free for what can't wait.
func (p *poller) cancelOnDemand(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.interrupt:
		}
		p.cancelHeld(ctx)
		// A request that comes before its question ends nothing.
		for len(p.commands) > 0 && p.cancelHeld(ctx) {
			time.Sleep(cancelAgain)
		}
	}
}

// cancelHeld asks the server to end the question that it holds back, and says
// whether there was one. A lost request costs no more than the time for which the
// server may hold the question back.
func (p *poller) cancelHeld(ctx context.Context) bool {
	p.mu.Lock()
	held := p.held
	p.mu.Unlock()
	if held == nil {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, cancelLimit)
	defer cancel()
	return held.CancelRequest(limited) == nil
}
