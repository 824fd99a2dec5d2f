package gate

import (
	"context"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/core/retry"
	"pomelofork/core/route"
	"pomelofork/io/match"
	"pomelofork/io/wire"
)

// attempt is one attempt to run a batch.
type attempt struct {
	stream *stream
	batch  wire.Batch
	answer *answerBuffer
	grant  grant
	pick   route.Pick
	// inTransaction says that the stream had an open transaction before the attempt.
	inTransaction bool
	// dedup is set for the first batch of a write with a request id, and nil otherwise.
	dedup *deduplicator
}

// run waits for a slot, sends the batch, and passes the answer on once it is certain, as
// waitCertain defines it. Its errors are *faultError, *sinkError and *model.Refusal.
func (a *attempt) run(ctx context.Context, sink wire.Sink) (wire.Result, error) {
	s := a.stream
	a.inTransaction = s.conn != nil
	a.answer = &answerBuffer{sink: sink}
	granted, refusal := s.admit(ctx)
	if refusal != nil {
		return wire.Result{}, refusal
	}
	a.grant, a.pick = granted, granted.pick
	if a.inTransaction {
		a.grant.conn, a.pick = s.conn, s.pick
	}
	a.dedup = newDeduplicator(a)
	a.answer.passThrough = !a.pick.Primary
	a.answer.confirm = func() error { return a.confirmPrimary(ctx) }
	if err := a.exchange(ctx); err != nil {
		return wire.Result{}, err
	}
	if err := a.waitCertain(ctx); err != nil {
		return wire.Result{}, err
	}
	if err := a.answer.flush(); err != nil {
		return wire.Result{}, &sinkError{err}
	}
	s.committed = s.committed || a.answer.committed
	if err := sink.Message(a.servedBy()); err != nil {
		return wire.Result{}, &sinkError{err}
	}
	return a.result(), nil
}

// servedBy names the backend server that ran the batch and its role, for example
// "stock-1/replica". Operators and the load tool use it to count where reads ran.
func (a *attempt) servedBy() *pgproto3.ParameterStatus {
	role := "replica"
	if a.pick.Primary {
		role = "primary"
	}
	return &pgproto3.ParameterStatus{Name: parameterServedBy, Value: string(a.grant.server.id) + "/" + role}
}

// result returns the state of the stream after the batch. The point of a read is the log
// point that the server had applied when it read.
func (a *attempt) result() wire.Result {
	return wire.Result{TxStatus: a.answer.txStatus, Point: a.answer.point}
}

// handleStep handles one step of the answer. step.Failed is the error of a hidden query: of
// the one that inserts the outcome record, if the attempt has one, or else of the one that
// switches the connection's mode.
func (a *attempt) handleStep(step match.Step) error {
	a.grant.conn.recordParsed(step.Done)
	if step.Failed != nil && a.dedup != nil {
		a.dedup.recordError = step.Failed.Code
	} else if step.Failed != nil {
		return &faultError{retry.FaultConnectionClosed, errors.New("server rejected the switch between read-only and read-write mode with SQLSTATE " + step.Failed.Code)}
	}
	for _, m := range step.Show {
		if _, copying := m.(*pgproto3.CopyInResponse); copying {
			if err := a.refuseCopy(); err != nil {
				return err
			}
			continue
		}
		if err := a.answer.add(m); err != nil {
			return a.wrapSinkError(err)
		}
	}
	return nil
}

// wrapSinkError returns faults of the attempt as they are, and wraps any other error of
// the answer buffer as one of the sink.
func (a *attempt) wrapSinkError(err error) error {
	var fault *faultError
	if errors.As(err, &fault) || errors.Is(err, errTooLarge) {
		return err
	}
	return &sinkError{err}
}

// refuseCopy makes a COPY FROM STDIN fail, since a batch can't carry its data.
func (a *attempt) refuseCopy() error {
	messages := []pgproto3.FrontendMessage{&pgproto3.CopyFail{Message: "COPY from the client is not supported"}}
	last := a.batch.Messages[len(a.batch.Messages)-1]
	if _, extended := last.(*pgproto3.Sync); extended {
		// During the copy, the server ignored the Sync that ended the batch.
		messages = append(messages, &pgproto3.Sync{})
	}
	return a.grant.conn.SendNow(messages...)
}
