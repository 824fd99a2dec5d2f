package link

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/core/model"
	"pomelofork/io/dbconn"
	"pomelofork/io/match"
	"pomelofork/io/wire"
)

// stream carries one unit of work to another instance. It implements wire.Stream.
type stream struct {
	client *Client
	unit   wire.Unit
	// opened is when the entry opened the stream.
	opened time.Time
	// conn is nil before the first batch, and again after the unit has ended.
	conn *dbconn.Conn
}

// Run implements wire.Stream.
func (s *stream) Run(ctx context.Context, batch wire.Batch, sink wire.Sink) (wire.Result, error) {
	first := s.conn == nil
	if first {
		conn, refusal := s.client.acquire(ctx)
		if refusal != nil {
			return wire.Result{}, refusal
		}
		s.conn = conn
	}
	if err := s.addBatch(batch, first); err != nil {
		s.closeConn()
		return wire.Result{}, newRefusal(model.ReasonBadMessage, model.OutcomeNotRun, err.Error())
	}
	answer := &response{sink: sink}
	err := s.conn.Exchange(ctx, answer.handleStep)
	if answer.refusal != nil {
		s.releaseConn(err == nil)
		return wire.Result{}, answer.refusal
	}
	if err != nil {
		s.closeConn()
		return wire.Result{}, s.connFailure(err)
	}
	if answer.result.TxStatus == 'I' {
		s.releaseConn(true)
	}
	return answer.result, nil
}

// addBatch adds the messages of a batch to the connection. Before the first batch it
// adds the announcement of the unit, whose answer is not passed on.
func (s *stream) addBatch(batch wire.Batch, first bool) error {
	if first {
		announcement, err := encodeHeader(s.remaining())
		if err != nil {
			return err
		}
		entry, _ := match.EntryOf(announcement)
		if err := s.conn.AddAs(entry.Hidden(), announcement); err != nil {
			return err
		}
	}
	for _, m := range batch.Messages {
		if err := s.conn.Add(m); err != nil {
			return err
		}
	}
	return nil
}

// remaining returns the unit with the time that the gateway may use: what is left of
// Remaining, without the margin for the answer's way back.
func (s *stream) remaining() wire.Unit {
	unit := s.unit
	if unit.Remaining <= 0 {
		return unit
	}
	unit.Remaining -= s.client.config.Now().Sub(s.opened)
	unit.Remaining -= min(maxReturnMargin, unit.Remaining/returnMarginDivisor)
	unit.Remaining = max(unit.Remaining, time.Nanosecond)
	return unit
}

// connFailure returns the refusal for a connection that failed, or for a sink that
// returned an error. Reads have no effect, so their outcome is always "not run".
func (s *stream) connFailure(err error) *model.Refusal {
	outcome := model.OutcomeUnknown
	var connErr *dbconn.ConnError
	if s.unit.Access == model.AccessRead || (errors.As(err, &connErr) && !connErr.Sent()) {
		outcome = model.OutcomeNotRun
	}
	reason := model.ReasonConnectionLost
	if errors.Is(err, context.DeadlineExceeded) {
		reason = model.ReasonDeadline
	}
	return newRefusal(reason, outcome, "link to "+s.client.config.Address)
}

// Close implements wire.Stream. It closes the connection; the other instance then
// rolls back an open transaction.
func (s *stream) Close() { s.closeConn() }

// closeConn closes the connection, if the stream has one.
func (s *stream) closeConn() { s.releaseConn(false) }

// releaseConn returns the connection to the client, which keeps it open if clean is
// true.
func (s *stream) releaseConn(clean bool) {
	if s.conn == nil {
		return
	}
	s.client.release(s.conn, clean)
	s.conn = nil
}

// response collects the answer to one batch.
type response struct {
	sink    wire.Sink
	result  wire.Result
	refusal *model.Refusal
}

// handleStep processes one step of the answer.
func (r *response) handleStep(step match.Step) error {
	if step.Failed != nil {
		return r.handleHeaderError(step.Failed)
	}
	for _, m := range step.Show {
		if err := r.handleMessage(m); err != nil {
			return err
		}
	}
	return nil
}

// handleHeaderError processes an error that answers the announcement of the unit.
func (r *response) handleHeaderError(m *pgproto3.ErrorResponse) error {
	if refusal, ok := decodeRefusal(m); ok {
		r.refusal = refusal
		return nil
	}
	return fmt.Errorf("instance refused the announcement of the unit with SQLSTATE %s", m.Code)
}

func (r *response) handleMessage(m pgproto3.BackendMessage) error {
	switch m := m.(type) {
	case *pgproto3.ReadyForQuery:
		r.result.TxStatus = m.TxStatus
		return nil
	case *pgproto3.ParameterStatus:
		if m.Name == pointParameter {
			point, err := model.ParsePoint(m.Value)
			r.result.Point = point
			return err
		}
	case *pgproto3.ErrorResponse:
		if refusal, ok := decodeRefusal(m); ok {
			r.refusal = refusal
			return nil
		}
	}
	return r.sink.Message(m)
}
