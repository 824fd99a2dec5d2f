package link

import (
	"context"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/core/model"
	"pomelofork/io/wire"
)

// serverConn is the server's side of one connection. It runs one unit at a time.
type serverConn struct {
	server  *Server
	conn    net.Conn
	backend *pgproto3.Backend
	out     *responseWriter
	ctx     context.Context
	cancel  context.CancelFunc

	// stream is open from the first batch of a unit until the end of the unit.
	stream wire.Stream
	// unit is the announced unit, or nil.
	unit *wire.Unit
	// refusal answers the next batch, if it is not nil.
	refusal *model.Refusal
}

func newServerConn(s *Server, conn net.Conn) *serverConn {
	ctx, cancel := context.WithCancel(s.ctx)
	return &serverConn{server: s, conn: conn, ctx: ctx, cancel: cancel}
}

// run serves the connection until the client or the server closes it.
func (s *serverConn) run() {
	defer s.cancel()
	stop := context.AfterFunc(s.server.ctx, func() { _ = s.conn.Close() })
	defer stop()
	defer func() { _ = s.conn.Close() }()
	if err := s.startup(); err != nil {
		return
	}
	s.out = &responseWriter{conn: s.conn}
	in := newReader(s.ctx, s.backend, s.cancel)
	defer s.closeStream()
	for s.ctx.Err() == nil {
		if !s.serveNext(in) {
			return
		}
	}
}

// serveNext serves the next request, and reports whether the connection stays open.
func (s *serverConn) serveNext(in *reader) bool {
	draining := s.server.draining
	if s.stream != nil || s.unit != nil {
		draining = nil
	}
	select {
	case <-draining:
		// Draining is checked first: the select below would choose at random between
		// this case and a unit that has already arrived.
		s.sendShutdown(in)
		return false
	default:
	}
	select {
	case next, ok := <-in.requests:
		if !ok {
			return false
		}
		return s.serveRequest(next) == nil
	case <-draining:
		s.sendShutdown(in)
		return false
	}
}

// serveRequest begins a unit or runs a batch. The client announces a unit only after the end
// of the one before, so a query that looks like an announcement inside a unit is a caller's.
func (s *serverConn) serveRequest(next wire.Batch) error {
	if text, ok := cutHeaderBegin(next.Messages[0]); ok && s.unit == nil {
		return s.beginUnit(text)
	}
	return s.runBatch(next)
}

// beginUnit begins a unit. If its header is invalid, the first batch is answered with
// the refusal.
func (s *serverConn) beginUnit(text string) error {
	s.refusal = nil
	unit, err := parseHeader(text)
	if err != nil {
		s.refusal = model.NewRefusal(model.RefusalConfig{
			Reason: model.ReasonBadMessage, Outcome: model.OutcomeNotRun, Detail: err.Error(),
		})
	}
	s.unit = &unit
	if err := s.out.Message(&pgproto3.CommandComplete{CommandTag: []byte("SET")}); err != nil {
		return err
	}
	return s.sendReady('I')
}

// runBatch runs one batch and sends the answer.
func (s *serverConn) runBatch(batch wire.Batch) error {
	if s.stream == nil && s.refusal == nil {
		s.refusal = s.openStream()
	}
	if s.refusal != nil {
		return s.sendRefusal(s.refusal)
	}
	result, err := s.stream.Run(s.ctx, batch, s.out)
	if err != nil {
		return s.sendRefusal(asRefusal(err, s.unit.Access))
	}
	if !result.Point.IsZero() {
		if err := s.out.Message(&pgproto3.ParameterStatus{Name: pointParameter, Value: result.Point.String()}); err != nil {
			return err
		}
	}
	if result.TxStatus == 'I' {
		s.closeStream()
	}
	return s.sendReady(result.TxStatus)
}

// openStream opens a stream at the gateway for the announced unit.
func (s *serverConn) openStream() *model.Refusal {
	if s.unit == nil {
		return model.NewRefusal(model.RefusalConfig{
			Reason: model.ReasonBadMessage, Outcome: model.OutcomeNotRun, Detail: "batch without a unit",
		})
	}
	gateway, ok := s.server.config.Gateways(s.unit.Service)
	if !ok {
		return model.NewRefusal(model.RefusalConfig{
			Reason: model.ReasonNoGateway, Outcome: model.OutcomeNotRun, RetryAfter: noGatewayRetryAfter, Detail: string(s.unit.Service),
		})
	}
	opened, err := gateway.Open(s.ctx, *s.unit)
	if err != nil {
		return asRefusal(err, s.unit.Access)
	}
	s.stream = opened
	return nil
}

// noGatewayRetryAfter is the retry delay in refusals of a unit whose gateway was not
// reached: the instance is not the gateway, is shutting down or cannot be connected to.
const noGatewayRetryAfter = 100 * time.Millisecond

// sendRefusal ends the unit with a refusal.
func (s *serverConn) sendRefusal(refusal *model.Refusal) error {
	s.closeStream()
	s.refusal = nil
	m, err := encodeRefusal(refusal, "ERROR")
	if err != nil {
		return err
	}
	if err := s.out.Message(m); err != nil {
		return err
	}
	return s.sendReady('I')
}

func (s *serverConn) sendReady(txStatus byte) error {
	if err := s.out.Message(&pgproto3.ReadyForQuery{TxStatus: txStatus}); err != nil {
		return err
	}
	return s.out.flush()
}

// closeStream ends the unit, if there is one.
func (s *serverConn) closeStream() {
	if s.stream != nil {
		s.stream.Close()
	}
	s.stream, s.unit = nil, nil
}

// sendShutdown tells the client that nothing it sends from now on will run. It then
// reads until the client closes the connection: closing it earlier, with unread data,
// would reset it and the message could be lost.
func (s *serverConn) sendShutdown(in *reader) {
	m, err := encodeRefusal(model.NewRefusal(model.RefusalConfig{
		Reason: model.ReasonShuttingDown, Outcome: model.OutcomeNotRun, RetryAfter: noGatewayRetryAfter,
	}), "FATAL")
	if err != nil {
		return
	}
	if s.out.Message(m) != nil || s.out.flush() != nil {
		return
	}
	if writer, ok := s.conn.(interface{ CloseWrite() error }); ok {
		_ = writer.CloseWrite()
	}
	for range in.requests {
		continue
	}
}
