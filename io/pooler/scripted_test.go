package pooler_test

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/stmt"
	"pomelofork/io/pooler"
)

// scriptedConn is a connection whose answers a test chooses. It keeps what was sent.
type scriptedConn struct {
	mu   sync.Mutex
	sent []stmt.Command
	// answer returns the answer to a command, or false for none.
	answer  func(stmt.Command) (stmt.Answer, bool)
	answers chan stmt.Answer
	// ended ends Receive when it is closed. Close does so unless holdEnd is true.
	ended     chan struct{}
	holdEnd   bool
	closeOnce sync.Once
}

func newScriptedConn(answer func(stmt.Command) (stmt.Answer, bool)) *scriptedConn {
	return &scriptedConn{answer: answer, answers: make(chan stmt.Answer, 64), ended: make(chan struct{})}
}

func (c *scriptedConn) Send(commands []stmt.Command) error {
	for _, command := range commands {
		c.mu.Lock()
		c.sent = append(c.sent, command)
		c.mu.Unlock()
		if answer, ok := c.answer(command); ok {
			c.answers <- answer
		}
	}
	return nil
}

func (c *scriptedConn) Receive() (stmt.Answer, error) {
	select {
	case answer := <-c.answers:
		return answer, nil
	case <-c.ended:
		return stmt.Answer{}, io.EOF
	}
}

func (c *scriptedConn) SetDeadline(time.Time) error { return nil }

func (c *scriptedConn) Close() error {
	if !c.holdEnd {
		c.closeOnce.Do(func() { close(c.ended) })
	}
	return nil
}

// count returns the number of commands that were sent.
func (c *scriptedConn) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.sent)
}

// texts returns the texts of the callers' statements that were sent.
func (c *scriptedConn) texts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var texts []string
	for _, command := range c.sent {
		if command.Op == stmt.OpPass {
			texts = append(texts, command.Text)
		}
	}
	return texts
}

// scriptedDialer returns its connections one after the other.
type scriptedDialer struct {
	mu    sync.Mutex
	conns []*scriptedConn
}

func (d *scriptedDialer) Dial(context.Context, plan.Server, model.AccountID) (pooler.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.conns) == 0 {
		return nil, pooler.ErrConnectionLimit
	}
	conn := d.conns[0]
	d.conns = d.conns[1:]
	return conn, nil
}

// newScriptedPool returns a pool for a primary that uses the given connections.
func newScriptedPool(conns ...*scriptedConn) *pooler.Pool {
	return newPoolOf(pooler.Config{Server: plan.Server{ID: "p", Service: "s", Slots: 2, Primary: true}, Dialer: &scriptedDialer{conns: conns}})
}

// newPoolOf returns a pool that knows no point of a primary and keeps none unless c.Observe is set.
func newPoolOf(c pooler.Config) *pooler.Pool {
	c.Log = slog.New(slog.DiscardHandler)
	if c.Observe == nil {
		c.Observe = func(model.ServiceID, time.Time, model.Point) {}
	}
	c.Latest = func(model.ServiceID) (time.Time, model.Point, bool) { return time.Time{}, model.Point{}, false }
	p := pooler.NewPool(c)
	DeferCleanup(p.Close)
	return p
}

// done answers every command with success.
func done(c stmt.Command) (stmt.Answer, bool) {
	if c.Op == stmt.OpBegin {
		return stmt.Answer{State: stmt.StateOpen}, true
	}
	return stmt.Answer{}, true
}
