package dbconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/io/match"
)

// maxDirectWriteBytes is the size up to which messages are written before the first
// answer is read. Larger ones are written while answers are read: if both ends only
// wrote, they could fill the buffers in both directions and block each other.
const maxDirectWriteBytes = 16 * 1024

// pastDeadline makes reads and writes fail at once.
var pastDeadline = time.Unix(1, 0)

// Conn is one connection to a server. Only one goroutine may use it, but any
// goroutine may call Close.
type Conn struct {
	conn     net.Conn
	frontend *pgproto3.Frontend
	// queue holds the messages whose answers are outstanding.
	queue match.Queue
	// out holds the encoded messages that the next exchange sends.
	out []byte
	// writes passes output above maxDirectWriteBytes to the writing goroutine.
	writes chan []byte
	// sent says whether the current exchange has written anything.
	sent   atomic.Bool
	closed atomic.Bool
	// done is closed by Close.
	done chan struct{}
}

// New takes over a connection whose startup is complete and whose answers have all
// been read. Close must be called at the end, as it also stops a goroutine.
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

// Add encodes a message for the next Exchange. It does not retain m.
func (c *Conn) Add(m pgproto3.FrontendMessage) error {
	entry, answered := match.EntryOf(m)
	if !answered {
		return c.encode(m)
	}
	return c.AddAs(entry, m)
}

// AddAs is like Add, but the given entry decides whether the message is sent and
// whether its answer is passed on.
func (c *Conn) AddAs(entry match.Entry, m pgproto3.FrontendMessage) error {
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

// PendingAnswers returns the number of messages that are not completely answered.
func (c *Conn) PendingAnswers() int { return c.queue.Len() }

// Exchange sends the added messages and calls handle with each step of the answer,
// until all of them are answered. It returns a *ConnError if the connection failed or
// ctx ended, and an error of handle unchanged; in that case the rest of the answer has
// not been read. If ctx ended, ReadRest can read the rest.
func (c *Conn) Exchange(ctx context.Context, handle func(match.Step) error) error {
	c.sent.Store(false)
	release, err := c.interruptOnDone(ctx)
	if err != nil {
		return c.connError(ctx, err)
	}
	defer release()
	if err := c.send(); err != nil {
		return c.connError(ctx, err)
	}
	return c.read(ctx, handle)
}

// ReadRest reads the rest of an answer after the context of Exchange ended. Its errors
// are those of Exchange.
func (c *Conn) ReadRest(ctx context.Context, handle func(match.Step) error) error {
	release, err := c.interruptOnDone(ctx)
	if err != nil {
		return c.connError(ctx, err)
	}
	defer release()
	return c.read(ctx, handle)
}

// interruptOnDone makes reads and writes fail once ctx ends. The returned function ends
// this. If ctx has ended already, it waits until the deadline has been set. The next
// exchange can then remove the deadline and is not interrupted by it.
func (c *Conn) interruptOnDone(ctx context.Context) (func(), error) {
	if err := c.conn.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = c.conn.SetDeadline(pastDeadline)
		close(interrupted)
	})
	return func() {
		if !stop() {
			<-interrupted
		}
	}, nil
}

// send writes the encoded messages, or passes them to the writing goroutine if they
// are larger than maxDirectWriteBytes.
func (c *Conn) send() error {
	out := c.out
	if len(out) <= maxDirectWriteBytes {
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

// write writes all of out and records in sent whether anything was written.
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

// read calls handle with each step of the answers until none is outstanding.
func (c *Conn) read(ctx context.Context, handle func(match.Step) error) error {
	for c.queue.Len() > 0 {
		m, err := c.frontend.Receive()
		if err != nil {
			return c.connError(ctx, err)
		}
		step, err := c.queue.Feed(m)
		if err != nil {
			return c.connError(ctx, err)
		}
		if err := handle(step); err != nil {
			return err
		}
	}
	return nil
}

// connError wraps a failure of the connection, together with the cause of ctx if that
// has ended.
func (c *Conn) connError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = errors.Join(cause, err)
	}
	return &ConnError{sent: c.sent.Load(), err: err}
}

// Close closes the connection without sending Terminate, which a busy server would not
// read. It may be called more than once.
func (c *Conn) Close() {
	if c.closed.Swap(true) {
		return
	}
	close(c.done)
	_ = c.conn.Close()
}

// SendNow sends messages at once, during an exchange. They must not have answers of
// their own.
func (c *Conn) SendNow(messages ...pgproto3.FrontendMessage) error {
	var out []byte
	for _, m := range messages {
		var err error
		if out, err = m.Encode(out); err != nil {
			return fmt.Errorf("encode %T: %w", m, err)
		}
	}
	return c.write(out)
}
