package line

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/io/script"
)

// inlineBytes is the size up to which messages are written before the first
// answer is read. More could fill the buffers of both ends, each of which would
// then wait for the other to read.
const inlineBytes = 16 * 1024

// past is a deadline that ends reads and writes at once.
var past = time.Unix(1, 0)

// Conn is one connection. It is used by one goroutine, but Close may be called
// by any.
type Conn struct {
	conn     net.Conn
	frontend *pgproto3.Frontend
	queue    script.Queue
	out      []byte
	writes   chan []byte
	sent     atomic.Bool
	closed   atomic.Bool
	done     chan struct{}
}

// New takes over a connection whose startup is finished and whose answers have
// all been read.
func New(conn net.Conn) *Conn {
	c := &Conn{
		conn:     conn,
		frontend: pgproto3.NewFrontend(conn, conn),
		writes:   make(chan []byte),
		done:     make(chan struct{}),
	}
	go func() {
		for {
			select {
			case out := <-c.writes:
				if err := c.write(out); err != nil {
					c.Close()
				}
			case <-c.done:
				return
			}
		}
	}()
	return c
}

// Add puts a message behind the others that wait to be sent. The message isn't
// kept.
func (c *Conn) Add(m pgproto3.FrontendMessage) error {
	entry, answered := script.EntryOf(m)
	if !answered {
		return c.encode(m)
	}
	return c.AddAs(entry, m)
}

// AddAs is Add with the entry chosen by the caller.
func (c *Conn) AddAs(entry script.Entry, m pgproto3.FrontendMessage) error {
	c.queue.Add(entry)
	if !entry.Forward() {
		return nil
	}
	return c.encode(m)
}

func (c *Conn) encode(m pgproto3.FrontendMessage) error {
	out, err := m.Encode(c.out)
	if err != nil {
		return fmt.Errorf("encode %T: %w", m, err)
	}
	c.out = out
	return nil
}

// Waiting returns the number of messages whose answers are still to come.
func (c *Conn) Waiting() int { return c.queue.Len() }

// Exchange sends what was added and passes each step of the answer to each,
// until everything is answered. It returns a *LostError when the connection
// can't be used any more, and the error of each as it is; then the rest of the
// answer is still to come. When ctx ends, the rest can be read by Rest.
func (c *Conn) Exchange(ctx context.Context, each func(script.Step) error) error {
	c.sent.Store(false)
	release, err := c.guard(ctx)
	if err != nil {
		return c.lost(ctx, err)
	}
	defer release()
	if err := c.send(); err != nil {
		return c.lost(ctx, err)
	}
	return c.read(ctx, each)
}

// Rest reads the rest of an answer that was broken off by the end of a context.
func (c *Conn) Rest(ctx context.Context, each func(script.Step) error) error {
	release, err := c.guard(ctx)
	if err != nil {
		return c.lost(ctx, err)
	}
	defer release()
	return c.read(ctx, each)
}

// guard ends reads and writes when ctx ends. The returned function waits until
// that can't happen any more, so that it never hits a later exchange.
func (c *Conn) guard(ctx context.Context) (func(), error) {
	if err := c.conn.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = c.conn.SetDeadline(past)
		close(ended)
	})
	return func() {
		if !stop() {
			<-ended
		}
	}, nil
}

// send hands the encoded messages to the connection.
func (c *Conn) send() error {
	out := c.out
	if len(out) <= inlineBytes {
		c.out = out[:0]
		return c.write(out)
	}
	c.out = nil
	select {
	case c.writes <- out:
		return nil
	case <-c.done:
		return net.ErrClosed
	}
}

// write writes everything and notes whether anything left.
func (c *Conn) write(out []byte) error {
	if len(out) == 0 {
		return nil
	}
	n, err := c.conn.Write(out)
	if n > 0 {
		c.sent.Store(true)
	}
	return err
}

// read feeds the answers to each until nothing is outstanding.
func (c *Conn) read(ctx context.Context, each func(script.Step) error) error {
	for c.queue.Len() > 0 {
		m, err := c.frontend.Receive()
		if err != nil {
			return c.lost(ctx, err)
		}
		step, err := c.queue.Feed(m)
		if err != nil {
			return c.lost(ctx, err)
		}
		if err := each(step); err != nil {
			return err
		}
	}
	return nil
}

// lost returns the error for a connection that broke.
func (c *Conn) lost(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = errors.Join(cause, err)
	}
	return &LostError{sent: c.sent.Load(), err: err}
}

// Close closes the connection without a goodbye, which a server that is busy would
// not read. It may be called more than once.
func (c *Conn) Close() {
	if c.closed.Swap(true) {
		return
	}
	close(c.done)
	_ = c.conn.Close()
}

// Interject sends messages that have no answer of their own in the middle of an
// exchange.
func (c *Conn) Interject(messages ...pgproto3.FrontendMessage) error {
	var out []byte
	for _, m := range messages {
		var err error
		if out, err = m.Encode(out); err != nil {
			return fmt.Errorf("encode %T: %w", m, err)
		}
	}
	return c.write(out)
}
