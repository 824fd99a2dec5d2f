package group

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"pomelofork/core/model"
	"pomelofork/core/term"
)

// maxQueuedCommands bounds the queue of commands for one server.
const maxQueuedCommands = 16

// poller has one connection to one server, on which it requests the server's status
// continually and sends commands in between.
type poller struct {
	watcher  *Watcher
	server   Server
	commands chan command
	// pollRequested ends the pause before the next status request.
	pollRequested chan struct{}
	// cancelRequested asks to cancel the open status request.
	cancelRequested chan struct{}

	conn *pgconn.PgConn
	// lastLog is the log point of the last status on this connection. The server may
	// delay its next answer while its status does not change.
	lastLog model.Point
	// failed is true from a failure of the connection until the next one is open.
	// backoff is the last delay before an attempt to connect.
	failed  bool
	backoff time.Duration

	mu sync.Mutex
	// openPoll is the connection on which a status request is open, or nil.
	openPoll *pgconn.PgConn
}

func newPoller(w *Watcher, s Server) *poller {
	return &poller{
		watcher:         w,
		server:          s,
		commands:        make(chan command, maxQueuedCommands),
		pollRequested:   make(chan struct{}, 1),
		cancelRequested: make(chan struct{}, 1),
		backoff:         w.conf.PollTiming.ReconnectDelay,
	}
}

// enqueue adds a command to the queue and cancels the open status request, so that the
// command is sent as soon as possible. If the queue is full, the command fails.
func (p *poller) enqueue(c command) {
	select {
	case p.commands <- c:
		notify(p.cancelRequested)
	default:
		c.done(p.watcher.conf.Now(), term.Status{}, errQueueFull)
	}
}

// pollNow requests the server's status at once. It cancels an open status request,
// and ends the delay before an attempt to connect.
func (p *poller) pollNow() {
	notify(p.pollRequested)
	notify(p.cancelRequested)
}

// notify sends to a channel with a buffer of one, unless the buffer is full.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run polls the server and sends commands until ctx ends.
func (p *poller) run(ctx context.Context) {
	defer p.closeConn()
	for ctx.Err() == nil {
		if p.conn == nil && !p.connect(ctx) {
			p.rejectCommands()
			p.backoff = min(2*p.backoff, p.watcher.conf.PollTiming.MaxReconnectDelay)
			p.pause(ctx, p.backoff)
			continue
		}
		select {
		case c := <-p.commands:
			p.execute(ctx, c)
			// Another command often follows. A status request sent before it would have
			// to be canceled.
			p.pause(ctx, p.watcher.conf.PollTiming.Interval)
			continue
		default:
		}
		began := p.watcher.conf.Now()
		p.poll(ctx)
		p.pause(ctx, p.watcher.pollInterval()-p.watcher.conf.Now().Sub(began))
	}
}

// pause waits for d. It ends early when a status request is wanted at once, and when
// there is a command, which it executes.
func (p *poller) pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-p.pollRequested:
	case c := <-p.commands:
		p.execute(ctx, c)
	}
}

// connect opens the connection. It reports a failure to the machine and returns false.
func (p *poller) connect(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, p.watcher.conf.PollTiming.ConnectTimeout)
	defer cancel()
	conn, err := open(limited, p.watcher.conf, p.server)
	if err != nil {
		p.reportFault(ctx, err)
		return false
	}
	p.conn, p.lastLog, p.failed, p.backoff = conn, model.Point{}, false, p.watcher.conf.PollTiming.ReconnectDelay
	p.watcher.logConnected(ctx, p.server.ID)
	return true
}

// closeConn closes the connection without waiting for the server.
func (p *poller) closeConn() {
	if p.conn == nil {
		return
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = p.conn.Close(ended)
	p.conn = nil
}

// poll sends one status request and passes the answer to the machine. It sends none
// if a command is queued, whose cancel request may already have come too early.
func (p *poller) poll(ctx context.Context) {
	maxHold := p.watcher.maxHold()
	text := fmt.Sprintf("SELECT group_status('%s', %d)", p.lastLog, maxHold.Milliseconds())
	p.setOpenPoll(p.conn)
	if len(p.commands) > 0 {
		p.setOpenPoll(nil)
		return
	}
	requestedAt := p.watcher.conf.Now()
	s, err := p.query(ctx, text, maxHold)
	p.setOpenPoll(nil)
	if isCanceled(err) {
		return
	}
	if err != nil {
		p.closeConn()
		p.reportFault(ctx, err)
		return
	}
	p.lastLog = s.Log
	p.watcher.apply(func(now time.Time) []term.Action {
		return p.watcher.machine.Observe(now, p.server.ID, requestedAt, s)
	})
}

// query runs a statement that returns a status row. The server may delay its answer by
// maxHold.
func (p *poller) query(ctx context.Context, text string, maxHold time.Duration) (term.Status, error) {
	limited, cancel := context.WithTimeout(ctx, maxHold+p.watcher.conf.PollTiming.AnswerTimeout)
	defer cancel()
	results, err := p.conn.Exec(limited, text).ReadAll()
	if err != nil {
		return term.Status{}, err
	}
	return readStatus(results)
}

// reportFault passes the fault behind an error to the machine, unless the watcher is
// being closed. Only the first failure after an open connection is logged.
func (p *poller) reportFault(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !p.failed {
		p.failed = true
		p.watcher.logConnFailed(ctx, p.server.ID, err)
	}
	p.watcher.apply(func(now time.Time) []term.Action {
		return p.watcher.machine.ObserveFault(now, p.server.ID, classifyFault(err, term.FaultConnectionClosed))
	})
}
