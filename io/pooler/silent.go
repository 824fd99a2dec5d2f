package pooler

import (
	"context"
	"log/slog"
	"time"

	"pomelofork/core/stmt"
)

// silentText says why a statement is rejected at a server that has stopped answering.
const silentText = "server gives no answers"

// silentFor returns the time since the server's last answer while statements are in flight, or zero
// while none is.
func (p *Pool) silentFor(now time.Time) time.Duration {
	if p.running == 0 {
		return 0
	}
	return now.Sub(p.lastAnswer)
}

// Silent reports whether the server has been without an answer for so long that reads leave it.
func (p *Pool) Silent(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silentFor(now) > p.queue.SilenceTimeout(silentAfter)
}

// AnsweredAt returns when the server last answered, or the zero time.
func (p *Pool) AnsweredAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answeredAt
}

// recordAnswer records that the server answered.
func (p *Pool) recordAnswer(now time.Time) { p.lastAnswer, p.answeredAt = now, now }

// reconnecting reports whether the server was lost and a first connection to it is being opened.
// One read waits for that connection, to find out whether the server is back.
func (p *Pool) reconnecting() bool {
	if p.downSince.IsZero() || p.running == 0 {
		return false
	}
	for sc := range p.conns {
		if sc.conn != nil {
			return false
		}
	}
	return true
}

// releaseReads rejects the queued reads that another server may run, if this server has stopped
// answering. Otherwise they would wait until the statements in flight time out, although other
// servers are free.
func (p *Pool) releaseReads(now time.Time) {
	silent := p.silentFor(now)
	if silent <= p.queue.SilenceTimeout(silentAfter) {
		return
	}
	released := 0
	p.queue.Remove(func(r *request) bool {
		if !r.order.AnyServerMayRun() {
			return false
		}
		released++
		r.result <- refused(stmt.CodeConnectionLost, silentText, silentAfter)
		return true
	})
	if released > 0 {
		p.log.LogAttrs(context.Background(), slog.LevelWarn, "server has stopped answering, releasing the queued reads to other servers",
			slog.String("server", string(p.server.ID)), slog.Duration("silent", silent), slog.Int("reads", released), slog.Int("running", p.running))
	}
}
