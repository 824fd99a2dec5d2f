package pgsim

import (
	"context"
	"net"
)

// conn is a connection that holds back bytes in both directions while its server is cut off
// or frozen. The bytes are delivered afterwards, as TCP does after a network outage.
type conn struct {
	net.Conn
	server *server
	ctx    context.Context
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if waitErr := c.waitReachable(); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.waitReachable(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// waitReachable blocks until the server is neither cut off nor frozen. It returns the cause
// if the session ends.
func (c *conn) waitReachable() error {
	for {
		c.server.group.mu.Lock()
		blocked, changed := c.server.cut || c.server.frozen, c.server.changed
		c.server.group.mu.Unlock()
		if c.ctx.Err() != nil {
			return context.Cause(c.ctx)
		}
		if !blocked {
			return nil
		}
		select {
		case <-changed:
		case <-c.ctx.Done():
		}
	}
}
