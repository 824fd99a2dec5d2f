package group

import (
	"context"

	"pomelofork/core/term"
)

// execute sends one command. A cancel request that was meant for the question
// before may hit it instead; commands are idempotent, so it is sent again.
func (p *poller) execute(ctx context.Context, c command) {
	if p.conn == nil && !p.connect(ctx) {
		c.done(p.watcher.conf.Now(), term.Status{}, errNoConnection)
		return
	}
	asked := p.watcher.conf.Now()
	s, err := p.query(ctx, c.text, 0)
	for canceled(err) && ctx.Err() == nil {
		s, err = p.query(ctx, c.text, 0)
	}
	if err != nil && !answered(err) {
		p.drop()
		p.fail(ctx, err)
	}
	c.done(asked, s, err)
}

// refuseCommands answers what waits while there is no connection.
func (p *poller) refuseCommands() {
	for {
		select {
		case c := <-p.commands:
			c.done(p.watcher.conf.Now(), term.Status{}, errNoConnection)
		default:
			return
		}
	}
}
