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
	body, ok := any(result).(message)
	if !ok {
		return none, fmt.Errorf("%T is not a message", result)
	}
	client, err := p.connect(now)
	if err != nil {
		return none, err
	}
	done := make(chan *rpc.Call, 1)
	answer := &response{body: body}
	client.Go(serviceName+"."+method, args, answer, done)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	checkTimer := time.NewTimer(checkAfter)
	defer checkTimer.Stop()
	abandoned := p.abandoned(args)
	for {
		select {
		case <-abandoned:
			return none, fmt.Errorf("%w: %w", ErrNoAnswer, errAbandoned)
		case <-p.config.Ending:
			return none, fmt.Errorf("%w: %w", ErrNoAnswer, errEnding)
		case call := <-done:
			if call.Error != nil {
				return none, p.callError(client, method, call.Error)
			}
			p.observe(EventAnswered)
			if answer.err != nil {
				return none, fmt.Errorf("peer %s: decoding its answer: %w", p.config.Name, answer.err)
			}
			return *result, nil
		case <-checkTimer.C:
			p.observe(EventOverdue)
			p.check(client)
		case <-timer.C:
			return none, fmt.Errorf("%w within %s", ErrNoAnswer, timeout)
		}
	}
}

// callError returns the error of a call that net/rpc ended with one: that the request was over the limit,
// what the peer answered, or that there was no answer, in which case the connection is closed.
func (p *Peer) callError(client *rpc.Client, method string, err error) error {
	if errors.Is(err, ErrTooLarge) {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
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
