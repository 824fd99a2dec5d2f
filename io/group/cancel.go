package group

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// cancelTimeout bounds one cancel request.
const cancelTimeout = 200 * time.Millisecond

// cancelRetryPause is the pause before a cancel request is repeated.
const cancelRetryPause = time.Millisecond

// setOpenPoll records the connection on which a status request is open. The server may
// leave the request unanswered for a while. A nil connection means that none is open.
func (p *poller) setOpenPoll(c *pgconn.PgConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openPoll = c
}

// runCancels cancels the open status request whenever cancelRequested is signaled: the
// only status connection to the server is then needed for something urgent.
func (p *poller) runCancels(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.cancelRequested:
		}
		p.cancelOpenPoll(ctx)
		// A cancel request that arrives before the status request has no effect, so it is
		// repeated while commands are queued.
		for len(p.commands) > 0 && p.cancelOpenPoll(ctx) {
			time.Sleep(cancelRetryPause)
		}
	}
}

// cancelOpenPoll sends a cancel request for the open status request, and reports
// whether there was one and the cancel request succeeded. If the cancel request gets
// lost, the connection is occupied no longer than the server may leave the status
// request unanswered.
func (p *poller) cancelOpenPoll(ctx context.Context) bool {
	p.mu.Lock()
	conn := p.openPoll
	p.mu.Unlock()
	if conn == nil {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	return conn.CancelRequest(limited) == nil
}
