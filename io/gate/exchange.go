package gate

import (
	"context"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/core/model"
	"pomelofork/core/retry"
	"pomelofork/io/dbconn"
)

// exchange runs the batch on the granted connection. It releases the slot when the server
// has answered. After a failure it closes the connection.
func (a *attempt) exchange(ctx context.Context) error {
	g := a.stream.gateway
	if a.grant.conn == nil {
		g.releaseSlot(a.grant, g.config.Now())
		return &faultError{retry.FaultNotSent, errors.New("server has closed all idle connections")}
	}
	if refusal := a.prepare(); refusal != nil {
		a.discard()
		g.releaseSlot(a.grant, g.config.Now())
		return refusal
	}
	tracked, done := g.track(ctx, a)
	err := a.converse(tracked)
	done()
	if err != nil || a.answer.fatalCode != "" {
		return a.failed(ctx, err)
	}
	a.settle()
	g.releaseSlot(a.grant, g.config.Now())
	return nil
}

// prepare adds all messages that are to be sent. It checks the right again, because the
// process may have been suspended since the slot was granted.
func (a *attempt) prepare() *model.Refusal {
	g, c := a.stream.gateway, a.grant.conn
	if !g.config.HoldsRight() {
		return notRun(model.ReasonNoGateway, string(g.config.Service))
	}
	if err := c.prepare(a.stream.reads()); err != nil {
		return notRun(model.ReasonBadMessage, err.Error())
	}
	if a.dedup != nil {
		begin, err := a.dedup.record.beginSQL()
		if err != nil {
			return notRun(model.ReasonBadMessage, err.Error())
		}
		if err := c.addHidden(&pgproto3.Query{String: begin}); err != nil {
			return notRun(model.ReasonBadMessage, err.Error())
		}
	}
	if err := c.addBatch(a.batch.Messages); err != nil {
		return notRun(model.ReasonBadMessage, err.Error())
	}
	return nil
}

// converse sends the batch and reads the answer. For a request with an id, it also
// commits the outcome record.
func (a *attempt) converse(ctx context.Context) error {
	if err := a.grant.conn.Exchange(ctx, a.handleStep); err != nil {
		return err
	}
	if a.dedup == nil || a.answer.fatalCode != "" {
		return nil
	}
	return a.dedup.finish(ctx)
}

// failed closes the connection, releases the slot, and classifies the error. If the unit
// ran out of time, both happen later, after the server was asked to cancel the statement.
func (a *attempt) failed(ctx context.Context, err error) error {
	g := a.stream.gateway
	var connErr *dbconn.ConnError
	if ctx.Err() != nil && errors.As(err, &connErr) {
		startRemoteCancel(g, a.grant)
		a.stream.unpin()
		return &faultError{retry.FaultTimeout, err}
	}
	a.discard()
	g.releaseSlot(a.grant, g.config.Now())
	if err == nil {
		err = errors.New("server closed the connection with SQLSTATE " + a.answer.fatalCode)
	}
	var sink *sinkError
	var fault *faultError
	var refusal *model.Refusal
	switch {
	case errors.As(err, &sink), errors.As(err, &fault), errors.As(err, &refusal):
		return err
	case errors.Is(err, errTooLarge):
		return model.NewRefusal(model.RefusalConfig{Reason: model.ReasonTooLarge, Outcome: model.OutcomeUnknown, Detail: err.Error()})
	}
	g.config.Group.ReportError(a.grant.server.id, err)
	if connErr != nil && !connErr.Sent() {
		return &faultError{retry.FaultNotSent, err}
	}
	return &faultError{retry.FaultConnectionClosed, err}
}

// discard closes the connection, since its state is unknown.
func (a *attempt) discard() {
	a.grant.conn.altered = true
	a.stream.gateway.releaseConn(a.grant.server, a.grant.conn, a.stream.gateway.config.Now())
	a.stream.unpin()
}

// settle pins the connection to the stream if a transaction is open, and releases it
// otherwise.
func (a *attempt) settle() {
	s, c := a.stream, a.grant.conn
	c.altered = c.altered || a.answer.alteredConn
	if a.answer.txStatus == 'I' {
		s.gateway.releaseConn(a.grant.server, c, s.gateway.config.Now())
		s.unpin()
		return
	}
	s.pin(a.grant.server, c, a)
}
