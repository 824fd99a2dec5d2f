package caller

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/core/assert"
	"pomelofork/core/conf"
	"pomelofork/core/model"
	"pomelofork/core/sess"
	"pomelofork/io/meter"
	"pomelofork/io/wire"
)

// noDeadline is the value that removes a deadline from a connection.
var noDeadline time.Time

// The transaction statuses of ReadyForQuery: none, open and failed.
const (
	txIdle   byte = 'I'
	txOpen   byte = 'T'
	txFailed byte = 'E'
)

// session is one connection of one caller. Its fields are used only by the goroutine that
// runs it, except for those below mu, which mu protects. Fields above that other goroutines
// read as well, such as conn, pid and account, are written while mu is held.
type session struct {
	server       *Server
	ctx          context.Context
	cancel       context.CancelFunc
	conn         net.Conn
	backend      *pgproto3.Backend
	encrypted    bool
	pid          uint32
	cancelSecret []byte

	account   model.AccountID
	key       conf.KeyID
	anonymous bool
	// service is the service of the current unit of work, or else of the last one. A new configuration may lead the
	// route to another service for the next one.
	service   model.ServiceID
	route     model.RouteID
	access    model.Access
	tokens    sess.Tokens
	requestID string
	timeout   time.Duration

	statements *preparedStatements
	batch      batch
	// skipping says that messages are ignored up to the next Sync, after an error.
	skipping bool
	// unit collects what is counted when the current unit of work ends.
	unit meter.Unit
	// stream is the stream of the open transaction, or nil. release then ends the count of
	// the unit in the loads of the server.
	stream  wire.Stream
	release func()
	// aborted says that the transaction failed and the caller must end it.
	aborted bool

	mu sync.Mutex
	// closeReason is why the session has to end, or nil. If graceful is true, a unit of work
	// may finish before.
	closeReason *model.Refusal
	graceful    bool
	// idle says that the session has waited for its caller since idleSince, outside a unit
	// of work.
	idle      bool
	idleSince time.Time
	// cancelBatch cancels the running batch, and batchEnded is closed when that batch ends.
	// Both are nil while none runs.
	cancelBatch context.CancelFunc
	batchEnded  <-chan struct{}
}

func newSession(server *Server, conn net.Conn) *session {
	ctx, cancel := context.WithCancel(context.Background())
	s := &session{server: server, ctx: ctx, cancel: cancel, statements: newPreparedStatements(), timeout: defaultBatchTimeout}
	s.useConn(conn)
	return s
}

// useConn sets the connection of the session, also after the switch to TLS.
func (s *session) useConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn
	s.backend = pgproto3.NewBackend(conn, conn)
	s.backend.SetMaxBodyLen(maxLoginBytes)
}

func (s *session) now() time.Time { return s.server.config.Now() }

// run serves the session until either side ends it. It returns nil if the caller closed the
// connection or got an error that says why the session ended.
func (s *session) run() error {
	err := s.startup()
	for err == nil {
		err = s.handleMessage()
	}
	if errors.Is(err, errClosed) {
		return nil
	}
	return err
}

// handleMessage receives and processes the next message of the caller.
func (s *session) handleMessage() error {
	m, err := s.receive()
	if err != nil {
		return err
	}
	if _, sync := m.(*pgproto3.Sync); s.skipping && !sync {
		return nil
	}
	switch m := m.(type) {
	case *pgproto3.Terminate:
		return errClosed
	case *pgproto3.Flush:
		return s.flush()
	case *pgproto3.Query:
		return s.endBatch(m)
	case *pgproto3.Sync:
		return s.endBatch(m)
	case *pgproto3.FunctionCall:
		s.backend.Send(newErrorResponse("0A000", "function calls are not supported"))
		return s.sendReady()
	default:
		return s.addToBatch(m)
	}
}

// addToBatch adds m to the batch. It ends the session if the batch becomes too large.
func (s *session) addToBatch(m pgproto3.FrontendMessage) error {
	s.batch.add(m)
	if s.batch.bytes > maxBatchBytes {
		return s.fatal(notRun(model.ReasonTooLarge, "more than %d bytes up to a Sync", maxBatchBytes))
	}
	return nil
}

// flush rejects a Flush inside a batch. A batch is sent to a backend server only when it is
// complete, so a caller that waits for answers before it sends its Sync would wait forever.
func (s *session) flush() error {
	if len(s.batch.messages) == 0 {
		return nil
	}
	s.batch.reset()
	s.abortTransaction()
	s.skipping = true
	s.backend.Send(newErrorResponse("0A000", "Flush before Sync is not supported"))
	if err := s.backend.Flush(); err != nil {
		return errClosed
	}
	return nil
}

// endBatch adds m, which is a Query or Sync, to the batch and runs it.
func (s *session) endBatch(m pgproto3.FrontendMessage) error {
	if s.skipping {
		s.skipping = false
		return s.sendReady()
	}
	defer s.batch.reset()
	if err := s.addToBatch(m); err != nil {
		return err
	}
	return s.runBatch()
}

// receive waits for the caller's next message. If the session has to end, it sends the
// reason to the caller and returns errClosed.
func (s *session) receive() (pgproto3.FrontendMessage, error) {
	if refusal := s.enterIdle(); refusal != nil {
		return nil, s.fatal(refusal)
	}
	m, err := s.backend.Receive()
	refusal := s.leaveIdle()
	if err == nil {
		return m, nil
	}
	var timeout net.Error
	switch {
	case refusal != nil:
		return nil, s.fatal(refusal)
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, s.fatal(notRun(model.ReasonDeadline, "transaction idle for more than %s", idleTransactionTimeout))
	case isProtocolError(err):
		return nil, s.fatal(notRun(model.ReasonBadMessage, "%v", err))
	default:
		return nil, errClosed
	}
}

// isProtocolError reports whether err was caused by a malformed message and not by the
// connection.
func isProtocolError(err error) bool {
	var netError net.Error
	return !errors.As(err, &netError) && !isEOF(err)
}

// enterIdle marks the session as waiting for its caller. If the session has to end, it
// returns the reason.
func (s *session) enterIdle() *model.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	inUnit := s.stream != nil || s.aborted || len(s.batch.messages) > 0
	if s.closeReason != nil && (!s.graceful || !inUnit) {
		s.server.config.Check.Hold(!s.graceful || s.stream == nil, assert.InvariantPlannedStop, "account %s: the planned stop ended a session with an open unit of work", s.account)
		return s.closeReason
	}
	s.idle, s.idleSince = !inUnit, s.now()
	deadline := noDeadline
	if s.stream != nil {
		deadline = s.now().Add(idleTransactionTimeout)
	}
	_ = s.conn.SetReadDeadline(deadline)
	return nil
}

// leaveIdle marks the session as working. If the session has to end, it returns the reason.
func (s *session) leaveIdle() *model.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = false
	return s.closeReason
}

// ending returns why the session has to end, or nil.
func (s *session) ending() *model.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closeReason
}

// stop makes the session end with the refusal. If graceful, a unit of work may finish
// before. Otherwise, a running batch is canceled when withdrawalGracePeriod is over. A stop
// that isn't graceful replaces an earlier graceful one.
func (s *session) stop(refusal *model.Refusal, graceful bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closeReason != nil && (graceful || !s.graceful) {
		return
	}
	s.closeReason, s.graceful = refusal, graceful
	if graceful && !s.idle {
		return
	}
	_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	if cancel := s.cancelBatch; cancel != nil {
		time.AfterFunc(withdrawalGracePeriod, cancel)
	}
}

// reload stops the session if its key isn't valid any more. It does nothing if the
// instance has no configuration that is known to be current. It returns a channel that is
// closed when the running batch of a stopped session ends, or nil if there is none.
func (s *session) reload() <-chan struct{} {
	if !s.identified() || s.anonymous {
		return nil
	}
	config, refusal := s.server.config.Directory.Config(s.now())
	if refusal != nil {
		return nil
	}
	refusal = s.checkKey(config)
	if refusal == nil {
		return nil
	}
	s.stop(refusal, false)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.batchEnded
}

// checkKey returns a refusal if the key that opened the session isn't valid any more.
func (s *session) checkKey(config *conf.Config) *model.Refusal {
	if s.anonymous {
		return nil
	}
	account, known := config.Account(s.account)
	if !known {
		return notRun(model.ReasonUnknownAccount, "account %q was removed", s.account)
	}
	if account.KeyState(s.key) != conf.KeyValid {
		return notRun(model.ReasonKeyWithdrawn, "account %q", s.account)
	}
	return nil
}

// closeConn cancels the work of the session and closes its connection without an error
// message.
func (s *session) closeConn() {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.conn.Close()
}

// end releases everything that the session holds and closes its connection.
func (s *session) end() {
	s.endUnit()
	s.closeConn()
}

// endUnit closes the stream of the unit of work, if there is one. A transaction that is
// still open is rolled back.
func (s *session) endUnit() {
	if s.stream == nil {
		return
	}
	s.countUnit(0)
	s.stream.Close()
	s.release()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stream, s.release = nil, nil
}
