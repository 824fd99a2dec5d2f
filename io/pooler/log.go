package pooler

import (
	"context"
	"log/slog"

	"pomelofork/core/stmt"
	"pomelofork/io/logs"
)

// logPrepared logs the statement that the setup commands prepare at the server, if they prepare one.
func (p *Pool) logPrepared(sc *serverConn, r *request, setup []stmt.Command) {
	for _, c := range setup {
		if c.Op == stmt.OpPrepare {
			p.log.LogAttrs(context.Background(), slog.LevelInfo, "statement prepared at a server", slog.String("request", logs.Shortened(r.order.Statement.ID)),
				slog.String("server", string(p.server.ID)), slog.String("account", string(sc.account)), slog.String("name", logs.Shortened(c.Name)),
				slog.Bool("writes", c.Writes), slog.String("shape", logs.Shortened(c.Rest)), slog.Int("shape_bytes", len(c.Rest)), slog.Int("prepared", len(sc.prepared.byStatement)))
		}
	}
}

// logRefusedSetup logs that the server refused one of the commands before a statement, which is then not sent.
func (p *Pool) logRefusedSetup(e *execution, answer stmt.Answer) {
	order := e.request.order
	p.log.LogAttrs(context.Background(), slog.LevelInfo, "server refused to prepare its session for a statement", slog.String("request", logs.Shortened(order.Statement.ID)),
		slog.String("server", string(p.server.ID)), slog.String("account", string(order.Account)), slog.String("kind", order.Statement.Kind.String()),
		slog.Int("commands_left", e.setupLeft), slog.String("code", answer.Code.String()), slog.String("reason", logs.Shortened(answer.Text)))
}
