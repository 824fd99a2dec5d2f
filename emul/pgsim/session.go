package pgsim

import (
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/core/model"
)

// session is one connection of a client.
type session struct {
	server   *server
	conn     *conn
	backend  *pgproto3.Backend
	ctx      context.Context
	end      context.CancelCauseFunc
	process  uint32
	secret   uint32
	admitted bool

	settings   map[string]string
	tx         *transaction
	statements map[string]*prepared
	portals    map[string]*portal
	// skip drops messages of the extended protocol until Sync, after an error.
	skip bool
	// seen is the log point to report at the end of the batch.
	seen model.Point
	// told is the status that this connection was told last.
	told status

	running   sync.Mutex
	cancelRun context.CancelCauseFunc
}

func newSession(ctx context.Context, s *server, c *conn, end context.CancelCauseFunc) *session {
	return &session{
		server:     s,
		conn:       c,
		backend:    pgproto3.NewBackend(c, c),
		ctx:        ctx,
		end:        end,
		process:    rand.Uint32(),
		secret:     rand.Uint32(),
		settings:   map[string]string{"default_transaction_read_only": "off"},
		statements: map[string]*prepared{},
		portals:    map[string]*portal{},
	}
}

// run serves the connection until it ends.
func (s *session) run() {
	if !s.start() {
		return
	}
	for s.ctx.Err() == nil {
		m, err := s.backend.Receive()
		if err != nil {
			return
		}
		if _, quit := m.(*pgproto3.Terminate); quit {
			return
		}
		s.handle(m)
		if s.flushable(m) && s.backend.Flush() != nil {
			return
		}
	}
}

// flushable says that the client may wait for the answer to m.
func (s *session) flushable(m pgproto3.FrontendMessage) bool {
	switch m.(type) {
	case *pgproto3.Query, *pgproto3.Sync, *pgproto3.Flush:
		return true
	}
	return false
}

// sleep waits for d, or less when the statement or the connection ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// statementContext returns the context of a new statement, which a cancel request ends.
func (s *session) statementContext() (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	s.running.Lock()
	s.cancelRun = cancel
	s.running.Unlock()
	return ctx, func() {
		s.running.Lock()
		s.cancelRun = nil
		s.running.Unlock()
		cancel(nil)
	}
}

// cancelStatement ends the statement that runs now, if any.
func (s *session) cancelStatement() {
	s.running.Lock()
	defer s.running.Unlock()
	if s.cancelRun != nil {
		s.cancelRun(canceled)
	}
}

// fail sends an error and aborts an open transaction block.
func (s *session) fail(err error) {
	f := fault{"XX000", err.Error()}
	_ = errors.As(err, &f)
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: f.code, Message: f.text})
	if s.tx != nil {
		s.tx.failed = true
	}
}

// ready ends a batch: an implicit transaction is committed, the log point reported.
func (s *session) ready() {
	if s.tx != nil && !s.tx.block {
		if err := s.finish(s.ctx); err != nil {
			s.fail(err)
		}
		s.tx = nil
	}
	if !s.seen.IsZero() {
		s.backend.Send(&pgproto3.ParameterStatus{Name: "group.point", Value: s.seen.String()})
		s.seen = model.Point{}
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus()})
}

// txStatus is the state of the transaction as ReadyForQuery reports it.
func (s *session) txStatus() byte {
	switch {
	case s.tx == nil:
		return 'I'
	case s.tx.failed:
		return 'E'
	default:
		return 'T'
	}
}

// secretKey is the cancel key in the form of the protocol.
func (s *session) secretKey() []byte {
	return binary.BigEndian.AppendUint32(nil, s.secret)
}
