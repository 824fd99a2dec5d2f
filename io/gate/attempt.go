package gate

import (
	"context"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/core/model"
	"pomelofork/core/retry"
	"pomelofork/core/route"
	"pomelofork/io/line"
	"pomelofork/io/script"
	"pomelofork/io/wire"
)

// attempt is one try at a batch.
type attempt struct {
	lane  *lane
	batch wire.Batch
	hold  *hold
	grant grant
	pick  route.Pick
	open  bool
}

// run waits for a slot, sends the batch, and passes on the answer once it is
// certain. Its errors are *faultError, *sinkError and *model.Refusal.
func (a *attempt) run(ctx context.Context, sink wire.Sink) (wire.Result, error) {
	l := a.lane
	a.open = l.conn != nil
	a.hold = &hold{sink: sink}
	granted, refusal := l.admit(ctx)
	if refusal != nil {
		return wire.Result{}, refusal
	}
	a.grant, a.pick = granted, granted.pick
	if a.open {
		a.grant.conn, a.pick = l.conn, l.pick
	}
	a.hold.through = !a.pick.Primary
	a.hold.certain = func() error { return a.confirm(ctx) }
	if err := a.exchange(ctx); err != nil {
		return wire.Result{}, err
	}
	if err := a.prove(ctx); err != nil {
		return wire.Result{}, err
	}
	if err := a.hold.release(); err != nil {
		return wire.Result{}, &sinkError{err}
	}
	l.committed = l.committed || a.hold.committed
	return a.result(), nil
}

// result returns the state of the lane after the batch.
func (a *attempt) result() wire.Result {
	result := wire.Result{TxStatus: a.hold.txStatus}
	if !a.lane.reads() {
		result.Point = a.hold.point
	}
	return result
}

// exchange runs the batch on the granted connection. The slot is given back when
// the server has answered; after a failure the connection is closed.
func (a *attempt) exchange(ctx context.Context) error {
	g, c := a.lane.gate, a.grant.conn
	if c == nil {
		g.release(a.grant, g.config.Now())
		return &faultError{retry.FaultNotSent, errors.New("idle connections had been closed")}
	}
	if !g.config.Holds() {
		a.discard()
		g.release(a.grant, g.config.Now())
		return notRun(model.ReasonNoGateway, string(g.config.Service))
	}
	if err := c.prepare(a.batch.Messages, a.lane.reads()); err != nil {
		a.discard()
		g.release(a.grant, g.config.Now())
		return notRun(model.ReasonBadMessage, err.Error())
	}
	err := c.Exchange(ctx, a.take)
	if err == nil && a.hold.fatal == "" {
		a.settle()
		g.release(a.grant, g.config.Now())
		return nil
	}
	return a.failed(ctx, err)
}

// take handles one step of the answer.
func (a *attempt) take(step script.Step) error {
	a.grant.conn.learn(step.Done)
	if step.Failed != nil {
		return &faultError{retry.FaultLost, errors.New("server refused to switch the mode: " + step.Failed.Code)}
	}
	for _, m := range step.Show {
		if _, copying := m.(*pgproto3.CopyInResponse); copying {
			if err := a.refuseCopy(); err != nil {
				return err
			}
			continue
		}
		if err := a.hold.take(m); err != nil {
			return a.notTaken(err)
		}
	}
	return nil
}

// notTaken tells the faults of a hold from those of the sink behind it.
func (a *attempt) notTaken(err error) error {
	var fault *faultError
	if errors.As(err, &fault) || errors.Is(err, errTooLarge) {
		return err
	}
	return &sinkError{err}
}

// refuseCopy ends a COPY from the client, which a batch can't carry.
func (a *attempt) refuseCopy() error {
	messages := []pgproto3.FrontendMessage{&pgproto3.CopyFail{Message: "COPY from the client is not supported"}}
	last := a.batch.Messages[len(a.batch.Messages)-1]
	if _, extended := last.(*pgproto3.Sync); extended {
		// The server has ignored the Sync that came during the copy.
		messages = append(messages, &pgproto3.Sync{})
	}
	return a.grant.conn.Interject(messages...)
}

// failed closes the connection, gives back the slot, and names the fault.
func (a *attempt) failed(ctx context.Context, err error) error {
	g := a.lane.gate
	var lost *line.LostError
	if ctx.Err() != nil && errors.As(err, &lost) {
		newRescue(g, a.grant)
		a.lane.forget()
		return &faultError{retry.FaultTimeout, err}
	}
	a.discard()
	g.release(a.grant, g.config.Now())
	if err == nil {
		err = errors.New("server ended the connection: " + a.hold.fatal)
	}
	var sink *sinkError
	var fault *faultError
	switch {
	case errors.As(err, &sink), errors.As(err, &fault):
		return err
	case errors.Is(err, errTooLarge):
		return model.NewRefusal(model.RefusalConfig{Reason: model.ReasonTooLarge, Outcome: model.OutcomeUnknown, Detail: err.Error()})
	}
	g.config.Group.Evidence(a.grant.server.id, err)
	if lost != nil && !lost.Sent() {
		return &faultError{retry.FaultNotSent, err}
	}
	return &faultError{retry.FaultLost, err}
}

// discard closes the connection, which isn't known to be clean.
func (a *attempt) discard() {
	a.grant.conn.altered = true
	a.lane.gate.giveBack(a.grant.server, a.grant.conn, a.lane.gate.config.Now())
	a.lane.forget()
}

// settle keeps the connection for an open transaction, or gives it back.
func (a *attempt) settle() {
	l, c := a.lane, a.grant.conn
	c.altered = c.altered || a.hold.altered
	if a.hold.txStatus == 'I' {
		l.gate.giveBack(a.grant.server, c, l.gate.config.Now())
		l.forget()
		return
	}
	l.conn, l.server, l.pick = c, a.grant.server, a.pick
}
