package relay

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"net/rpc"
)

// open opens a connection to the peer in the newest form that both sides speak. Calls are sent only once
// that is known.
func (p *Peer) open(ctx context.Context) (*rpc.Client, error) {
	conn, err := p.config.Dial(ctx, p.config.Address)
	if err != nil {
		return nil, err
	}
	in := bufio.NewReader(conn)
	answer, err := greet(ctx, conn, in, p.config.Build)
	if err == nil {
		p.recordHello(answer)
		return rpc.NewClientWithCodec(clientCodec{newCodec(conn, in, answer.form)}), nil
	}
	// The connection isn't used, so an error of closing it doesn't matter.
	_ = conn.Close()
	if !errors.Is(err, errNoHello) {
		return nil, err
	}
	// The peer is of a build that knows no hello, or has just ended. A newer one takes the ordered form too.
	if conn, err = p.config.Dial(ctx, p.config.Address); err != nil {
		return nil, err
	}
	p.recordHello(hello{form: formOrdered})
	return rpc.NewClientWithCodec(clientCodec{newCodec(conn, bufio.NewReader(conn), formOrdered)}), nil
}

// recordHello logs what the peer states if that has changed, and isn't what this process states.
func (p *Peer) recordHello(h hello) {
	p.mu.Lock()
	known, former := p.greeted, p.spoken
	p.greeted, p.spoken, p.undecodedLogged = true, h, false
	p.mu.Unlock()
	if same := h == (hello{newestForm, p.config.Build}); h != former && (known || !same) {
		p.config.Log.LogAttrs(context.Background(), slog.LevelInfo, "instance runs another build", slog.String("instance", p.config.Name),
			slog.String("build", h.build), slog.Int("form", int(h.form)), slog.Bool("same_as_here", same))
	}
}

// countUndecoded counts a call that the peer couldn't decode or has no method for, and logs the first one on
// a connection.
func (p *Peer) countUndecoded(method string, err error) {
	if p.config.Undecoded != nil {
		p.config.Undecoded(method)
	}
	p.mu.Lock()
	logged := p.undecodedLogged
	p.undecodedLogged = true
	p.mu.Unlock()
	if !logged {
		p.config.Log.LogAttrs(context.Background(), slog.LevelWarn, "instance could not take a call, which was not run", slog.String("instance", p.config.Name),
			slog.String("method", method), slog.String("error", err.Error()))
	}
}
