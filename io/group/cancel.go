package group

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// cancelLimit is the time allowed for a cancel request.
const cancelLimit = 200 * time.Millisecond

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
		p.mu.Lock()
		held := p.held
		p.mu.Unlock()
		if held == nil {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, cancelLimit)
		// A lost cancel request costs no more than the time that the server may hold
		// the question back.
		_ = held.CancelRequest(limited)
		cancel()
	}
}
