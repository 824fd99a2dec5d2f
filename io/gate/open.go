package gate

import (
	"log/slog"

	"pomelofork/io/event"
)

// openConnections opens the connections to one server that are requested, one after the
// other, until the gateway is closed.
func (g *Gateway) openConnections(s *server, address string) {
	for {
		select {
		case <-s.openRequests:
			g.openConnection(s, address)
		case <-g.ctx.Done():
			return
		}
	}
}

// openConnection opens one connection. The right is checked before and after, because it
// may be lost while the connection is being opened.
func (g *Gateway) openConnection(s *server, address string) {
	if !g.config.HoldsRight() {
		g.openFailed(s)
		return
	}
	c, err := g.dialer.open(g.ctx, address)
	if err != nil {
		event.Log(g.ctx, g.config.Logger, event.ServerConnectFailed,
			slog.String("server", string(s.id)), slog.String("error", err.Error()))
		g.config.Group.ReportError(s.id, err)
		g.openFailed(s)
		return
	}
	if g.ctx.Err() != nil || !g.config.HoldsRight() {
		c.Close()
		g.openFailed(s)
		return
	}
	g.mu.Lock()
	s.pool.Opened(g.config.Now(), c)
	g.mu.Unlock()
	g.requestDispatch()
}

// openFailed records that a requested connection was not opened.
func (g *Gateway) openFailed(s *server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.pool.OpenFailed(g.config.Now())
}

// requestDispatch makes dispatchLoop dispatch soon. It does not block.
func (g *Gateway) requestDispatch() {
	select {
	case g.dispatchRequests <- struct{}{}:
	default:
	}
}
