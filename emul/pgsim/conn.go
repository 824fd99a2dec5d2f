package pgsim

import (
	"context"
	"net"
)

// conn holds back bytes in both directions while its server is cut off or frozen.
// They pass later, as with a real network that comes back.
type conn struct {
	net.Conn
	server *server
	ctx    context.Context
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if waitErr := c.waitOpen(); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.waitOpen(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// waitOpen returns once the server is neither cut off nor frozen.
func (c *conn) waitOpen() error {
	for {
		c.server.group.mu.Lock()
		closed, changed := c.server.cut || c.server.frozen, c.server.changed
		c.server.group.mu.Unlock()
		if c.ctx.Err() != nil {
			return context.Cause(c.ctx)
		}
		if !closed {
			return nil
		}
		select {
		case <-changed:
		case <-c.ctx.Done():
		}
	}
}
