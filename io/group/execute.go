package group

import (
	"context"

	"pomelofork/core/term"
)

// execute sends one command. A cancel request for the status request before it may
// arrive late and cancel the command instead. Commands are idempotent, so a canceled
// command is sent again.
func (p *poller) execute(ctx context.Context, c command) {
	if p.conn == nil && !p.connect(ctx) {
		c.done(p.watcher.conf.Now(), term.Status{}, errNoConnection)
		return
	}
	requestedAt := p.watcher.conf.Now()
	s, err := p.query(ctx, c.text, 0)
	for isCanceled(err) && ctx.Err() == nil {
		s, err = p.query(ctx, c.text, 0)
	}
	if err != nil && !isServerError(err) {
		p.closeConn()
		p.reportFault(ctx, err)
	}
	c.done(requestedAt, s, err)
}

// rejectCommands fails the queued commands because there is no connection.
func (p *poller) rejectCommands() {
	for {
		select {
		case c := <-p.commands:
			c.done(p.watcher.conf.Now(), term.Status{}, errNoConnection)
		default:
			return
		}
	}
}
