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

// The bounds of a link.
const (
	// maxInFlight is the number of calls that may wait for one peer.
	maxInFlight = 256
	// maxOverdue is the number of calls in a row without an answer after which the
	// connection is given up.
	maxOverdue = 4
	// firstBackoff and lastBackoff bound the pause between two tries to connect.
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = time.Second
)

// errBusy says that too many calls wait for the peer already.
var errBusy = errors.New("too many calls in flight")

// errBackoff says that the last try to connect failed a moment ago.
var errBackoff = errors.New("peer can't be reached at present")

// link is the connection to one peer address. It connects on demand.
type link struct {
	address string
	tls     *tls.Config
	now     func() time.Time
	slots   chan struct{}

	mu       sync.Mutex
	used     time.Time
	client   *rpc.Client
	conn     net.Conn
	dialing  chan struct{}
	overdue  int
	backoff  time.Duration
	notUntil time.Time
	closed   bool
}

// newLink returns a link without a connection.
func newLink(address string, secure *tls.Config, now func() time.Time) *link {
	return &link{address: address, tls: secure, now: now, slots: make(chan struct{}, maxInFlight)}
}

// call makes one call and waits for its answer until ctx ends. The answer must not
// be read after an error, because it may still arrive.
func (l *link) call(ctx context.Context, method string, ask, answer any) error {
	select {
	case l.slots <- struct{}{}:
		defer func() { <-l.slots }()
	default:
		return fmt.Errorf("%s at %s: %w", method, l.address, errBusy)
	}
	client, err := l.connected(ctx)
	if err != nil {
		return fmt.Errorf("%s at %s: %w", method, l.address, err)
	}
	pending := client.Go("Peer."+method, ask, answer, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
		l.answered(client, pending.Error)
		if pending.Error != nil {
			return fmt.Errorf("%s at %s: %w", method, l.address, pending.Error)
		}
		return nil
	case <-ctx.Done():
		l.late(client)
		return fmt.Errorf("%s at %s: %w", method, l.address, ctx.Err())
	}
}

// connected returns the connection, and makes it if there is none. One caller dials;
// others wait for it.
func (l *link) connected(ctx context.Context) (*rpc.Client, error) {
	for {
		l.mu.Lock()
		l.used = l.now()
		switch {
		case l.closed:
			l.mu.Unlock()
			return nil, net.ErrClosed
		case l.client != nil:
			defer l.mu.Unlock()
			return l.client, nil
		case l.dialing == nil && l.now().Before(l.notUntil):
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

// dial tries to connect once and notes the result.
func (l *link) dial(ctx context.Context) {
	conn, err := l.open(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.dialing)
	l.dialing = nil
	if err != nil {
		l.backoff = min(max(2*l.backoff, firstBackoff), lastBackoff)
		l.notUntil = l.now().Add(l.backoff)
		return
	}
	if l.closed {
		_ = conn.Close()
		return
	}
	l.backoff, l.overdue = 0, 0
	l.conn, l.client = conn, rpc.NewClient(conn)
}

// open returns a new connection.
func (l *link) open(ctx context.Context) (net.Conn, error) {
	if l.tls == nil {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "tcp", l.address)
	}
	dialer := tls.Dialer{Config: l.tls}
	return dialer.DialContext(ctx, "tcp", l.address)
}

// answered notes that a call ended. A failure of the connection ends it.
func (l *link) answered(client *rpc.Client, err error) {
	var refused rpc.ServerError
	if err != nil && !errors.As(err, &refused) {
		l.drop(client)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == client {
		l.overdue = 0
	}
}

// late notes that a call got no answer in time.
func (l *link) late(client *rpc.Client) {
	l.mu.Lock()
	give := false
	if l.client == client {
		l.overdue++
		give = l.overdue >= maxOverdue
	}
	l.mu.Unlock()
	if give {
		l.drop(client)
	}
}

// drop gives up a connection.
func (l *link) drop(client *rpc.Client) {
	l.mu.Lock()
	if l.client == client {
		l.client = nil
	}
	l.mu.Unlock()
	_ = client.Close()
}

// idleSince reports whether no call was made since a time.
func (l *link) idleSince(since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.used.IsZero() && l.used.Before(since)
}

// close ends the link for good.
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
