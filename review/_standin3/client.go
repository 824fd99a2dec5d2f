package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// lastID numbers the statements of all clients.
var lastID atomic.Uint64

// nextID returns an identifier of a statement.
func nextID() string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+lastID.Add(1)) }

// client is a session of a client.
type client struct {
	world *world
	name  string
	conn  net.Conn
	in    *bufio.Reader
	at    *instance
}

// reply is what a client got for a statement.
type reply struct {
	id, code, text, state string
	rows                  []string
	sent, got             time.Time
}

// connect opens a session at a machine.
func (w *world) connect(name string, at *instance, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp", at.front, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{world: w, name: name, conn: conn, in: bufio.NewReader(conn), at: at}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "%s\r\n", strings.TrimSpace("CONNECT "+database+" "+key)); err != nil {
		return nil, err
	}
	line, err := c.in.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		_ = conn.Close()
		return nil, fmt.Errorf("opening answered with %q: %w", strings.TrimSpace(line), err)
	}
	return c, nil
}

// query sends a statement and waits for its answer. The code is DONE for a success, and LOST if there is no
// whole answer.
func (c *client) query(text string, limit time.Duration) reply {
	r := reply{id: nextID(), sent: time.Now(), code: "LOST"}
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	defer func() {
		r.got = time.Now()
		c.world.note("%s at %s: %s %s -> %s %s %v", c.name, c.at.name, r.id, text, r.code, r.text, r.rows)
	}()
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", r.id, text); err != nil {
		return r
	}
	code := ""
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			return r
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "ROW":
			r.rows = append(r.rows, rest)
		case "COMPLETE":
			code = "DONE"
		case "ERROR":
			code, r.text, _ = strings.Cut(rest, " ")
		case "READY":
			r.state, _, _ = strings.Cut(rest, " ")
			r.code = code
			if code == "DONE" {
				c.world.mu.Lock()
				c.world.acked[r.id] = time.Now()
				c.world.mu.Unlock()
			}
			return r
		}
	}
}

// close ends the session.
func (c *client) close() {
	_, _ = fmt.Fprintf(c.conn, "BYE\r\n")
	_ = c.conn.Close()
}
