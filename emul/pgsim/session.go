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
	server       *server
	conn         *conn
	backend      *pgproto3.Backend
	ctx          context.Context
	cancel       context.CancelCauseFunc
	processID    uint32
	cancelSecret uint32
	// admitted is true if the connection counts as open, which it does unless it was refused
	// above the limit.
	admitted bool

	settings map[string]string
	// tx is the open transaction, or nil.
	tx         *transaction
	statements map[string]*preparedStatement
	portals    map[string]*portal
	// skipUntilSync is true from an error in the extended protocol until the next Sync. The
	// messages between them are ignored.
	skipUntilSync bool
	// pointToReport is the log point to report as group.point at the end of the batch, or
	// zero if there is nothing to report.
	pointToReport model.Point
	// lastStatus is the status that this connection was sent last.
	lastStatus status

	// cancelCurrent cancels the running statement. It is nil while none runs.
	cancelMu      sync.Mutex
	cancelCurrent context.CancelCauseFunc
}

func newSession(ctx context.Context, s *server, c *conn, cancel context.CancelCauseFunc) *session {
	return &session{
		server:       s,
		conn:         c,
		backend:      pgproto3.NewBackend(c, c),
		ctx:          ctx,
		cancel:       cancel,
		processID:    rand.Uint32(),
		cancelSecret: rand.Uint32(),
		settings:     map[string]string{"default_transaction_read_only": "off"},
		statements:   map[string]*preparedStatement{},
		portals:      map[string]*portal{},
	}
}

// run handles the messages of the connection until it is closed or the server is killed.
func (s *session) run() {
	if !s.startUp() {
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
		s.handleMessage(m)
		if s.needsFlush(m) && s.backend.Flush() != nil {
			return
		}
	}
}

// needsFlush reports whether answers must be sent after m, because the client may wait for
// them.
func (s *session) needsFlush(m pgproto3.FrontendMessage) bool {
	switch m.(type) {
	case *pgproto3.Query, *pgproto3.Sync, *pgproto3.Flush:
		return true
	}
	return false
}

// sleepContext waits for d. It returns the cause if ctx ends first.
func sleepContext(ctx context.Context, d time.Duration) error {
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

// statementContext returns the context of a new statement, which a cancel request cancels,
// and a function to call when the statement has ended.
func (s *session) statementContext() (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	s.cancelMu.Lock()
	s.cancelCurrent = cancel
	s.cancelMu.Unlock()
	return ctx, func() {
		s.cancelMu.Lock()
		s.cancelCurrent = nil
		s.cancelMu.Unlock()
		cancel(nil)
	}
}

// cancelStatement cancels the running statement, if there is one.
func (s *session) cancelStatement() {
	s.cancelMu.Lock()
	defer s.cancelMu.Unlock()
	if s.cancelCurrent != nil {
		s.cancelCurrent(errCanceled)
	}
}

// sendError sends an error and marks an open transaction as failed.
func (s *session) sendError(err error) {
	e := sqlError{"XX000", err.Error()}
	_ = errors.As(err, &e)
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: e.sqlstate, Message: e.message})
	if s.tx != nil {
		s.tx.failed = true
	}
}

// endBatch ends a batch: it commits an implicit transaction, reports the log point and
// sends ReadyForQuery.
func (s *session) endBatch() {
	if s.tx != nil && !s.tx.block {
		if err := s.commitTransaction(s.ctx); err != nil {
			s.sendError(err)
		}
		s.tx = nil
	}
	if !s.pointToReport.IsZero() {
		s.backend.Send(&pgproto3.ParameterStatus{Name: "group.point", Value: s.pointToReport.String()})
		s.pointToReport = model.Point{}
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus()})
}

// txStatus returns the state of the transaction as ReadyForQuery reports it.
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

// cancelKey returns the secret for cancel requests as the protocol encodes it.
func (s *session) cancelKey() []byte {
	return binary.BigEndian.AppendUint32(nil, s.cancelSecret)
}
