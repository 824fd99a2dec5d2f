package link

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"sync"

	"github.com/jackc/pgx/v5/pgconn"

	"pomelofork/core/model"
	"pomelofork/io/dbconn"
	"pomelofork/io/event"
	"pomelofork/io/wire"
)

// Client opens streams to the gateways at one other instance. It implements
// wire.Gateway and is safe for concurrent use.
type Client struct {
	config ClientConfig
	// settings are unusable if settingsErr is not nil.
	settings    *pgconn.Config
	settingsErr error
	// permits has one element for each connection in use, up to MaxConnections.
	permits chan struct{}

	mu sync.Mutex
	// idle holds open connections without a unit, the last used one at the end.
	idle   []*dbconn.Conn
	closed bool
}

// NewClient returns a client that has no connection yet. If the address is invalid,
// every stream fails with a refusal.
func NewClient(c ClientConfig) *Client {
	if c.MaxConnections <= 0 {
		c.MaxConnections = DefaultClientConnections
	}
	settings, err := settingsFor(c)
	return &Client{config: c, settings: settings, settingsErr: err, permits: make(chan struct{}, c.MaxConnections)}
}

// settingsFor sets every connection setting explicitly, so that no environment
// variable or password file has an effect.
func settingsFor(c ClientConfig) (*pgconn.Config, error) {
	settings, err := pgconn.ParseConfig("host=127.0.0.1 port=5432 sslmode=disable passfile=/dev/null")
	if err != nil {
		return nil, fmt.Errorf("connection settings: %w", err)
	}
	host, portText, err := net.SplitHostPort(c.Address)
	if err != nil {
		return nil, fmt.Errorf("address of another instance: %w", err)
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("port of another instance: %w", err)
	}
	settings.Host, settings.Port, settings.Fallbacks = host, uint16(port), nil
	settings.User, settings.Password, settings.Database = User, c.Secret, User
	settings.RuntimeParams = nil
	settings.ConnectTimeout = startupTimeout
	if c.TLS != nil {
		settings.TLSConfig = c.TLS.Clone()
	}
	return settings, nil
}

// Open implements wire.Gateway. The stream connects at its first batch, so Open sends
// nothing and never fails.
func (c *Client) Open(_ context.Context, unit wire.Unit) (wire.Stream, error) {
	return &stream{client: c, unit: unit, opened: c.config.Now()}, nil
}

// Close closes the idle connections now, and each connection in use when its stream
// ends.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

// acquire returns an idle connection, or a new one if there is none. It waits while
// the maximum of connections is in use. If it fails, nothing was sent.
func (c *Client) acquire(ctx context.Context) (*dbconn.Conn, *model.Refusal) {
	select {
	case c.permits <- struct{}{}:
	case <-ctx.Done():
		return nil, newRefusal(model.ReasonDeadline, model.OutcomeNotRun, "connections to "+c.config.Address)
	}
	if conn, ok := c.acquireIdle(); ok {
		return conn, nil
	}
	conn, err := c.dial(ctx)
	if err != nil {
		<-c.permits
		event.Log(ctx, c.config.Logger, event.GatewayConnectFailed,
			slog.String("address", c.config.Address), slog.String("error", err.Error()))
		return nil, newRefusal(model.ReasonConnectionLost, model.OutcomeNotRun, "connect to "+c.config.Address)
	}
	return conn, nil
}

// dial opens a connection and logs in.
func (c *Client) dial(ctx context.Context) (*dbconn.Conn, error) {
	if c.settingsErr != nil {
		return nil, c.settingsErr
	}
	opened, err := pgconn.ConnectConfig(ctx, c.settings)
	if err != nil {
		return nil, err
	}
	hijacked, err := opened.Hijack()
	if err != nil {
		return nil, err
	}
	return dbconn.New(hijacked.Conn), nil
}

// acquireIdle returns the last used idle connection that is still usable, and closes
// the unusable ones that it finds.
func (c *Client) acquireIdle() (*dbconn.Conn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		conn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if conn.Reusable() {
			return conn, true
		}
		conn.Close()
	}
	return nil, false
}

// release ends the use of a connection. It is kept for other units if clean says that
// it is between two units, and closed otherwise.
func (c *Client) release(conn *dbconn.Conn, clean bool) {
	c.mu.Lock()
	if clean && !c.closed {
		c.idle = append(c.idle, conn)
	} else {
		conn.Close()
	}
	c.mu.Unlock()
	<-c.permits
}

func newRefusal(reason model.Reason, outcome model.Outcome, detail string) *model.Refusal {
	return model.NewRefusal(model.RefusalConfig{
		Reason: reason, Outcome: outcome, RetryAfter: noGatewayRetryAfter, Detail: detail,
	})
}
