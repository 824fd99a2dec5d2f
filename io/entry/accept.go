package entry

import (
	"context"
	"log/slog"
	"net"

	"pomelofork/core/admit"
	"pomelofork/io/sock"
)

// Serve accepts callers in the background until the listener is closed. The entry isn't ready afterwards.
func (e *Entry) Serve(listener net.Listener) {
	accepting := sock.NewPersistent(sock.PersistentConfig{Listener: listener, Changed: sock.LogAccepting(e.config.Log, "callers")})
	e.mu.Lock()
	e.accepting = accepting
	e.mu.Unlock()
	go func() {
		for {
			conn, err := accepting.Accept()
			if err != nil {
				e.MarkUnready()
				e.config.Log.LogAttrs(context.Background(), slog.LevelInfo, "stopped accepting callers", slog.String("error", err.Error()))
				return
			}
			e.accept(conn)
		}
	}()
}

// accept begins a session, unless there are too many.
func (e *Entry) accept(conn net.Conn) {
	open := e.Sessions()
	verdict := e.config.Limit.Admit(open)
	if full := verdict != admit.Serve; e.full.Swap(full) != full {
		e.config.Log.LogAttrs(context.Background(), slog.LevelWarn, "limit of sessions reached or left", slog.Bool("reached", full), slog.Int("sessions", open), slog.Int("limit", e.config.Limit.Sessions()))
	}
	if verdict == admit.Close {
		// An error means that the caller closed the connection first.
		_ = conn.Close()
		return
	}
	newSession(e, e.config.Codec(conn), verdict == admit.Refuse)
}
