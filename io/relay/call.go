package relay

import (
	"errors"
	"fmt"
	"net/rpc"
	"time"
)

// call makes one call. A response that arrives after the timeout is discarded.
func call[T any](p *Peer, now time.Time, method string, args any, timeout time.Duration) (T, error) {
	var none T
	result := new(T)
	client, err := p.connect(now)
	if err != nil {
		return none, err
	}
	done := make(chan *rpc.Call, 1)
	client.Go(serviceName+"."+method, args, result, done)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	checkTimer := time.NewTimer(checkAfter)
	defer checkTimer.Stop()
	abandoned := p.abandoned(args)
	for {
		select {
		case <-abandoned:
			return none, fmt.Errorf("%w: %w", ErrNoAnswer, errAbandoned)
		case call := <-done:
			if call.Error != nil {
				return none, p.callError(client, method, call.Error)
			}
			p.observe(EventAnswered)
			return *result, nil
		case <-checkTimer.C:
			p.observe(EventOverdue)
			p.check(client)
		case <-timer.C:
			return none, fmt.Errorf("%w within %s", ErrNoAnswer, timeout)
		}
	}
}

// callError returns the error of a call that net/rpc ended with one: what the peer answered, or that there
// was no answer, in which case the connection is closed.
func (p *Peer) callError(client *rpc.Client, method string, err error) error {
	var remote rpc.ServerError
	if !errors.As(err, &remote) {
		p.disconnect(client)
		return fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	p.observe(EventAnswered)
	if notDecoded(remote) || unknownMethod(remote) {
		p.countUndecoded(method, remote)
		return fmt.Errorf("%w: peer %s: %w", ErrNotSent, p.config.Name, remote)
	}
	return fmt.Errorf("peer %s: %w", p.config.Name, err)
}
