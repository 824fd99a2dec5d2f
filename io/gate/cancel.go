package gate

import (
	"context"

	"pomelofork/io/match"
)

// remoteCancel asks a backend server to cancel a statement whose unit ran out of time. The
// slot stays in use until the server has answered or cancelTimeout has passed, because the
// server may still be executing the statement. The connection is then closed.
type remoteCancel struct {
	gateway *Gateway
	grant   grant
}

// startRemoteCancel starts the cancellation in the background.
func startRemoteCancel(g *Gateway, granted grant) *remoteCancel {
	r := &remoteCancel{gateway: g, grant: granted}
	g.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(g.ctx, cancelTimeout)
		defer cancel()
		r.run(ctx)
	})
	return r
}

func (r *remoteCancel) run(ctx context.Context) {
	c := r.grant.conn
	if err := c.cancel.CancelRequest(ctx); err == nil {
		_ = c.ReadRest(ctx, func(match.Step) error { return nil })
	}
	c.altered = true
	r.gateway.releaseConn(r.grant.server, c, r.gateway.config.Now())
	r.gateway.releaseSlot(r.grant, r.gateway.config.Now())
}
