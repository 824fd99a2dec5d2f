package pooler

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"pomelofork/core/evac"
	"pomelofork/core/stmt"
)

// evacuatedText says why a statement is refused at a server whose failure domain is evacuated.
const evacuatedText = "failure domain of the server is evacuated"

// updateEvacuated updates and returns whether nothing may be sent because the failure domain is
// evacuated. When that begins, it refuses the queued statements and closes the connections, which makes
// the server roll back their transactions. A statement that was sent before is answered first, so
// that a commit in flight doesn't become in doubt.
func (p *Pool) updateEvacuated(now time.Time) bool {
	evacuated := p.evacuation.Closed(now, p.server.EvacuatedSince)
	if evacuated == p.evacuated {
		return evacuated
	}
	p.evacuated = evacuated
	if !evacuated {
		p.log.LogAttrs(context.Background(), slog.LevelInfo, "failure domain of a server was returned, statements are accepted", slog.String("server", string(p.server.ID)))
		return false
	}
	refused := 0
	p.queue.Remove(func(r *request) bool {
		refused++
		r.result <- p.refuseEvacuated(r)
		return true
	})
	transactions := len(p.transactions)
	for _, sc := range slices.Collect(maps.Keys(p.conns)) {
		if e := sc.execution; e == nil || e.mainLeft == 0 {
			p.discard(sc)
		}
	}
	p.log.LogAttrs(context.Background(), slog.LevelWarn, "failure domain of a server is evacuated, closing its connections", slog.String("server", string(p.server.ID)),
		slog.Time("since", p.server.EvacuatedSince), slog.Int("refused", refused), slog.Int("transactions", transactions), slog.Int("in_flight", len(p.conns)))
	return true
}

// refuseEvacuated returns the result of a statement that isn't sent because the failure domain is
// evacuated. The transaction that it belongs to is rolled back.
func (p *Pool) refuseEvacuated(r *request) stmt.Result {
	if r.continuesTransaction() {
		return refused(stmt.CodeAborted, evacuatedText, 0)
	}
	return refused(stmt.CodeMoved, evacuatedText, evac.ReturnAfter)
}
