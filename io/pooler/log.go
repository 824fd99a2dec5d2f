package pooler

import (
	"context"
	"log/slog"

	"pomelofork/core/stmt"
)

// maxLoggedBytes bounds what is logged of a text that a caller chose.
const maxLoggedBytes = 80

// shortened returns a text of a caller for a log line, without what exceeds maxLoggedBytes.
func shortened(text string) string { return text[:min(len(text), maxLoggedBytes)] }

// logPrepared logs the statement that the setup commands prepare at the server, if they prepare one.
func (p *Pool) logPrepared(sc *serverConn, r *request, setup []stmt.Command) {
	for _, c := range setup {
		if c.Op == stmt.OpPrepare {
			p.log.LogAttrs(context.Background(), slog.LevelInfo, "statement prepared at a server", slog.String("request", shortened(r.order.Statement.ID)),
				slog.String("server", string(p.server.ID)), slog.String("account", string(sc.account)), slog.String("name", shortened(c.Name)),
				slog.Bool("writes", c.Writes), slog.String("shape", shortened(c.Rest)), slog.Int("shape_bytes", len(c.Rest)), slog.Int("prepared", len(sc.prepared.byStatement)))
		}
	}
}

// logRefusedSetup logs that the server refused one of the commands before a statement, which is then not sent.
func (p *Pool) logRefusedSetup(e *execution, answer stmt.Answer) {
	order := e.request.order
	p.log.LogAttrs(context.Background(), slog.LevelInfo, "server refused to prepare its session for a statement", slog.String("request", shortened(order.Statement.ID)),
		slog.String("server", string(p.server.ID)), slog.String("account", string(order.Account)), slog.String("kind", order.Statement.Kind.String()),
		slog.Int("commands_left", e.setupLeft), slog.String("code", answer.Code.String()), slog.String("reason", shortened(answer.Text)))
}
