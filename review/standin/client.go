package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// client is one session of a client.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

// answer is what a client got for a statement.
type answer struct {
	rows   []string
	digest string
	code   string
	state  string
}

func (a answer) ok() bool { return a.code == "" }

// connect opens a session.
func connect(i *instance, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", i.ip, i.front), time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn, bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "CONNECT %s %s\r\n", database, key)
	line, err := c.in.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = fmt.Errorf("%s", strings.TrimSpace(line))
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

// query sends a statement and waits for its answer until the time limit.
func (c *client) query(id, text string, limit time.Duration) (answer, error) {
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{}, err
	}
	var a answer
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.digest = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}

func (c *client) close() { _ = c.conn.Close() }
