package relay

import (
	"context"
	"errors"
	"log/slog"
	"net/rpc"
	"syscall"
	"time"

	"pomelofork/io/clock"
	"pomelofork/io/sock"
)

// reconnectAttempts bounds the attempts to reach an unresponsive peer. With their pauses
// they take a minute or more. After them the next call tries to connect, as with a peer that
// was never reached.
const reconnectAttempts = 200

// reconnect tries to reach an unresponsive peer until it answers a check, and makes it
// usable again. It also ends when the connection is refused, since then the process has
// ended.
func (p *Peer) reconnect() {
	for range reconnectAttempts {
		time.Sleep(reconnectPause)
		client, err := p.dialAndCheck()
		if err == nil {
			p.observe(EventAnswered)
		} else if !sock.Exhausted(err) {
			p.observe(EventSilent)
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.mu.Lock()
			p.unresponsive, p.nextDial, p.unreachableErr = false, clock.Now().Add(reconnectPause), errors.Join(ErrNotSent, ErrConnRefused)
			p.mu.Unlock()
			return
		}
		if err != nil {
			continue
		}
		p.mu.Lock()
		if p.client != nil {
			// An error of closing doesn't matter, since the connection wasn't used.
			_ = client.Close()
			client = p.client
		}
		p.unresponsive, p.unreachable, p.client = false, false, client
		p.mu.Unlock()
		p.config.Log.LogAttrs(context.Background(), slog.LevelInfo, "instance is reached again", slog.String("instance", p.config.Name))
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unresponsive = false
}

// dialAndCheck opens a connection and returns it if the peer answers a check on it within
// checkTimeout.
func (p *Peer) dialAndCheck() (*rpc.Client, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	client, err := p.open(ctx)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(checkTimeout)
	defer timer.Stop()
	select {
	case call := <-client.Go(serviceName+".Look", &LookRequest{}, new(LookResponse), make(chan *rpc.Call, 1)).Done:
		err = call.Error
	case <-timer.C:
		err = errUnresponsive
	}
	if err != nil {
		// The connection isn't used in any case, so the error of closing it doesn't matter.
		_ = client.Close()
		return nil, err
	}
	return client, nil
}
