package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// The limits of a link.
const (
	// maxInFlight is the largest number of calls to one peer that wait for an answer at
	// the same time.
	maxInFlight = 256
	// maxTimeouts is the number of consecutive calls without an answer after which the
	// connection is closed.
	maxTimeouts = 4
	// minBackoff and maxBackoff bound the time between two attempts to connect.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// errBusy means that maxInFlight calls to the peer are in progress.
var errBusy = errors.New("too many calls in flight")

// errBackoff means that the last attempt to connect failed and the next one is not due
// yet.
var errBackoff = errors.New("last attempt to connect failed; waiting before the next one")

// link is the connection to one peer address. It connects when a call needs it.
type link struct {
	address string
	tls     *tls.Config
	now     func() time.Time
	// inFlight holds one element for each call in progress.
	inFlight chan struct{}

	mu       sync.Mutex
	lastUsed time.Time
	// client is nil while there is no connection.
	client *rpc.Client
	conn   net.Conn
	// dialing is closed when the attempt to connect that is in progress ends. It is nil
	// while there is none.
	dialing chan struct{}
	// timeouts is the number of consecutive calls without an answer.
	timeouts int
	// backoff is the wait after the last failed attempt to connect, which ends at
	// dialNotBefore.
	backoff       time.Duration
	dialNotBefore time.Time
	closed        bool
}

// newLink returns a link that is not connected yet.
func newLink(address string, secure *tls.Config, now func() time.Time) *link {
	return &link{address: address, tls: secure, now: now, inFlight: make(chan struct{}, maxInFlight)}
}

// call makes one call and waits for its answer until ctx ends. After an error the caller
// must not read the response, because a late answer may still be written to it.
func (l *link) call(ctx context.Context, method string, request, response any) error {
	select {
	case l.inFlight <- struct{}{}:
		defer func() { <-l.inFlight }()
	default:
		return fmt.Errorf("call %s of peer %s: %w", method, l.address, errBusy)
	}
	client, err := l.connected(ctx)
	if err != nil {
		return fmt.Errorf("call %s of peer %s: %w", method, l.address, err)
	}
	pending := client.Go("Peer."+method, request, response, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
		l.completed(client, pending.Error)
		if pending.Error != nil {
			return fmt.Errorf("call %s of peer %s: %w", method, l.address, pending.Error)
		}
		return nil
	case <-ctx.Done():
		l.timedOut(client)
		return fmt.Errorf("call %s of peer %s: %w", method, l.address, ctx.Err())
	}
}

// connected returns the connection, and establishes it if there is none. One caller dials
// while the others wait for it.
func (l *link) connected(ctx context.Context) (*rpc.Client, error) {
	for {
		l.mu.Lock()
		l.lastUsed = l.now()
		switch {
		case l.closed:
			l.mu.Unlock()
			return nil, net.ErrClosed
		case l.client != nil:
			defer l.mu.Unlock()
			return l.client, nil
		case l.dialing == nil && l.now().Before(l.dialNotBefore):
			l.mu.Unlock()
			return nil, errBackoff
		case l.dialing == nil:
			l.dialing = make(chan struct{})
			l.mu.Unlock()
			l.dial(ctx)
			continue
		}
		wait := l.dialing
		l.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// dial tries to connect once and records the result.
func (l *link) dial(ctx context.Context) {
	conn, err := l.open(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.dialing)
	l.dialing = nil
	if err != nil {
		l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
		l.dialNotBefore = l.now().Add(l.backoff)
		return
	}
	if l.closed {
		_ = conn.Close()
		return
	}
	l.backoff, l.timeouts = 0, 0
	l.conn, l.client = conn, rpc.NewClient(conn)
}

// open establishes a new connection, with TLS if the link has a TLS configuration.
func (l *link) open(ctx context.Context) (net.Conn, error) {
	if l.tls == nil {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "tcp", l.address)
	}
	dialer := tls.Dialer{Config: l.tls}
	return dialer.DialContext(ctx, "tcp", l.address)
}

// completed records that a call ended. It closes the connection if the error is not one
// that the peer returned.
func (l *link) completed(client *rpc.Client, err error) {
	var remote rpc.ServerError
	if err != nil && !errors.As(err, &remote) {
		l.closeClient(client)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == client {
		l.timeouts = 0
	}
}

// timedOut records that a call got no answer in time. It closes the connection after
// maxTimeouts such calls in a row.
func (l *link) timedOut(client *rpc.Client) {
	l.mu.Lock()
	exceeded := false
	if l.client == client {
		l.timeouts++
		exceeded = l.timeouts >= maxTimeouts
	}
	l.mu.Unlock()
	if exceeded {
		l.closeClient(client)
	}
}

// closeClient closes a connection, so that the next call establishes a new one.
func (l *link) closeClient(client *rpc.Client) {
	l.mu.Lock()
	if l.client == client {
		l.client = nil
	}
	l.mu.Unlock()
	_ = client.Close()
}

// idleSince reports whether no call has been made since a time. It returns false for a
// link without any call yet.
func (l *link) idleSince(since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.lastUsed.IsZero() && l.lastUsed.Before(since)
}

// close closes the link for good. Later calls fail with net.ErrClosed.
func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	client := l.client
	l.client = nil
	l.mu.Unlock()
	if client != nil {
		_ = client.Close()
	}
}
