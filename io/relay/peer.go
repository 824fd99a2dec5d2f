package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"syscall"
	"time"

	"pomelofork/core/model"
	"pomelofork/io/sock"
)

const (
	// dialTimeout bounds the opening of a connection to a peer. It is hundreds of times a
	// round trip.
	dialTimeout = 300 * time.Millisecond
	// reconnectPause is the pause between two attempts to connect to an unreachable peer.
	// During the pause calls fail at once.
	reconnectPause = 300 * time.Millisecond
	// checkAfter is the time without an answer to a call after which the peer gets a check,
	// a call that it can answer at once. checkTimeout bounds that check. Their sum is below
	// the target times of usual operations.
	checkAfter   = 200 * time.Millisecond
	checkTimeout = 200 * time.Millisecond
)

// Errors of a call. An error that the peer itself returned is none of them.
var (
	// ErrNotSent means that the call certainly didn't reach the peer.
	ErrNotSent = errors.New("peer not reached")
	// ErrNoAnswer means that the peer may have received the call and executed it, but no
	// answer arrived.
	ErrNoAnswer = errors.New("no answer from the peer")
	// ErrConnRefused means that no process listens at the peer's address. Errors that wrap
	// it wrap ErrNotSent too.
	ErrConnRefused = errors.New("connection refused, no process listens at the peer's address")
	// ErrTooLarge means that a message is over the limit and was not sent. The errors of calls that wrap it
	// wrap ErrNotSent too.
	ErrTooLarge = errors.New("message is over the limit")
	// errEnding means that this instance ended the call because it is about to end.
	errEnding = errors.New("this instance is ending")
	// errUnresponsive means that the peer didn't answer a check on an open connection
	// within checkTimeout.
	errUnresponsive = errors.New("peer did not answer a check on the open connection")
)

// PeerConfig holds the settings and dependencies of a peer.
type PeerConfig struct {
	// Name is the name of the instance in log lines and errors.
	Name string
	// Address is the address at which the instance accepts calls.
	Address string
	// Dial opens connections to the address.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Observe is called with each Event. It may be nil, and must not call the peer.
	Observe func(Event)
	// Abandoned returns a channel whose closing ends the calls in flight that may be repeated
	// elsewhere, or nil. It may be nil.
	Abandoned func() <-chan struct{}
	// Ending ends all calls in flight when it is closed, since this instance is about to end. It may be nil.
	Ending <-chan struct{}
	// Build names the version of this program. It may be empty.
	Build string
	// Undecoded is called with the method of each call that the instance couldn't decode. It may be nil.
	Undecoded func(method string)
	// Log records when the instance becomes unreachable and when it is reached again, and its build if
	// that is another one.
	Log *slog.Logger
}

// Peer calls one other instance over one connection, which it opens when a call needs it.
// All methods may be called concurrently.
type Peer struct {
	config PeerConfig

	mu     sync.Mutex
	client *rpc.Client
	// opening is closed when the current attempt to connect ends. Nil means that there is
	// none.
	opening chan struct{}
	// unreachable says that the peer couldn't be reached and hasn't been reached since. The
	// log has a line about it.
	unreachable bool
	// checking says that a check is outstanding.
	checking bool
	// unresponsive says that the peer failed a check and has to answer another one before
	// it is used again. An open connection proves nothing: the kernel accepts connections
	// for a process that is stopped.
	unresponsive bool
	// nextDial is the earliest time for another attempt to connect. Calls before it fail
	// with unreachableErr.
	nextDial       time.Time
	unreachableErr error
	// spoken is what the instance last stated at the start of a connection, if greeted is set.
	spoken  hello
	greeted bool
	// undecodedLogged says that the log has a line about a call that the instance couldn't decode on the
	// present connection.
	undecodedLogged bool
}

// NewPeer returns a peer without a connection.
func NewPeer(c PeerConfig) *Peer { return &Peer{config: c} }

// Reachable reports whether a call would be sent or would at least try to connect. It is
// false for an unresponsive peer and during the pause after a failed attempt to connect.
func (p *Peer) Reachable(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.client != nil || (!p.unresponsive && !now.Before(p.nextDial))
}

// Run runs an order at the peer. An error that doesn't wrap ErrNotSent means that the
// statement may have run.
func (p *Peer) Run(now time.Time, args *RunRequest, timeout time.Duration) (RunResponse, error) {
	response, err := call[RunResponse](p, now, "Run", args, timeout)
	if err != nil && !args.sent && !errors.Is(err, ErrNotSent) {
		err = fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return response, err
}

// Draw requests tokens of a client account from the peer.
func (p *Peer) Draw(now time.Time, request *DrawRequest, timeout time.Duration) (DrawResponse, error) {
	return call[DrawResponse](p, now, "Draw", request, timeout)
}

// Follow asks the peer for changes of the store's content and waits for them.
func (p *Peer) Follow(now time.Time, request *FollowRequest, timeout time.Duration) (FollowResponse, error) {
	return call[FollowResponse](p, now, "Follow", request, timeout)
}

// Look asks the peer for a service's newest point and for its configuration age.
func (p *Peer) Look(now time.Time, service model.ServiceID, timeout time.Duration) (LookResponse, error) {
	return call[LookResponse](p, now, "Look", &LookRequest{Service: service}, timeout)
}

// AwaitPoint asks the peer for a service's newest point. A peer that knows none waits for one, and its
// answer may take the timeout beyond that.
func (p *Peer) AwaitPoint(now time.Time, service model.ServiceID, wait, timeout time.Duration) (LookResponse, error) {
	return call[LookResponse](p, now, "Look", &LookRequest{Service: service, Wait: wait}, wait+timeout)
}

// Endorse asks the peer, as the monitor of a service's primary, whether its appointment is in force.
func (p *Peer) Endorse(now time.Time, request *EndorseRequest, timeout time.Duration) (EndorseResponse, error) {
	return call[EndorseResponse](p, now, "Endorse", request, timeout)
}

// Confirm asks the peer when a server was last known to be the primary of its service.
func (p *Peer) Confirm(now time.Time, request *ConfirmRequest, timeout time.Duration) (ConfirmResponse, error) {
	return call[ConfirmResponse](p, now, "Confirm", request, timeout)
}

// Withdraw tells the peer that the appointment of a primary was withdrawn. Without an error the
// peer passes on no work of that primary any more.
func (p *Peer) Withdraw(now time.Time, request *WithdrawRequest, timeout time.Duration) error {
	_, err := call[WithdrawResponse](p, now, "Withdraw", request, timeout)
	return err
}

// check closes the connection if the peer doesn't answer a check on it in time, and then
// tries to reach the peer again. A call that takes long doesn't show by itself whether its
// statement is queued at the peer or the connection will never deliver an answer.
func (p *Peer) check(client *rpc.Client) {
	p.mu.Lock()
	if p.checking || p.client != client {
		p.mu.Unlock()
		return
	}
	p.checking = true
	p.mu.Unlock()
	ping := client.Go(serviceName+".Look", &LookRequest{}, new(LookResponse), make(chan *rpc.Call, 1))
	time.AfterFunc(checkTimeout, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.checking = false
		select {
		case call := <-ping.Done:
			if call.Error == nil {
				p.observe(EventAnswered)
				return
			}
		default:
		}
		p.observe(EventSilent)
		if p.client != client {
			// The connection was replaced meanwhile, and the check says nothing about the new one.
			return
		}
		p.disconnectLocked(client)
		p.markUnreachable(errUnresponsive)
		p.unreachableErr = fmt.Errorf("%w: %w", ErrNotSent, errUnresponsive)
		p.unresponsive = true
		go func() { p.reconnect() }()
	})
}

// connect returns the connection and opens it if there is none. Concurrent calls wait for
// the same attempt.
func (p *Peer) connect(now time.Time) (*rpc.Client, error) {
	p.mu.Lock()
	for p.opening != nil {
		wait := p.opening
		p.mu.Unlock()
		<-wait
		p.mu.Lock()
	}
	defer p.mu.Unlock()
	if p.client != nil {
		return p.client, nil
	}
	if p.unresponsive || now.Before(p.nextDial) {
		return nil, p.unreachableErr
	}
	p.opening = make(chan struct{})
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	client, err := p.open(ctx)
	cancel()
	p.mu.Lock()
	close(p.opening)
	p.opening = nil
	if err != nil {
		if !sock.Exhausted(err) {
			p.observe(EventSilent)
			p.markUnreachable(err)
		}
		p.nextDial, p.unreachableErr = now.Add(reconnectPause), fmt.Errorf("%w: %w", ErrNotSent, err)
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.unreachableErr = fmt.Errorf("%w: %w", ErrNotSent, ErrConnRefused)
		}
		if errors.Is(err, errUnresponsive) {
			p.unresponsive = true
			go func() { p.reconnect() }()
		}
		return nil, p.unreachableErr
	}
	if p.unreachable {
		p.unreachable = false
		p.config.Log.LogAttrs(ctx, slog.LevelInfo, "instance is reached again", slog.String("instance", p.config.Name))
	}
	p.client = client
	return p.client, nil
}

// markUnreachable logs that the instance can't be reached, once until it is reached again.
// The lock is held.
func (p *Peer) markUnreachable(err error) {
	if !p.unreachable {
		p.unreachable = true
		p.config.Log.LogAttrs(context.Background(), slog.LevelWarn, "instance is not reached", slog.String("instance", p.config.Name), slog.String("error", err.Error()))
	}
}

// disconnect closes a connection that failed, so that the next call opens another one.
func (p *Peer) disconnect(client *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disconnectLocked(client)
}

// disconnectLocked is disconnect with the lock held. It does nothing if the peer already uses
// another connection.
func (p *Peer) disconnectLocked(client *rpc.Client) {
	if client == nil || p.client != client {
		return
	}
	p.client = nil
	// An error only says that the client was closed already.
	_ = client.Close()
}
