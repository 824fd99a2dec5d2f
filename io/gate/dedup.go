package gate

import (
	"context"
	"errors"
	"fmt"

	"pomelofork/core/model"
	"pomelofork/core/retry"
)

// deduplicator makes a request with an id take effect only once. The outcome is recorded in
// the same transaction as the effects, so a repeated request finds the record and gets the
// recorded answer.
type deduplicator struct {
	attempt *attempt
	record  outcomeRecord
	// recordError is the SQLSTATE by which the server rejected the record, or empty.
	recordError string
}

// newDeduplicator returns nil unless the unit may write, has a request id, and has no open
// transaction yet.
func newDeduplicator(a *attempt) *deduplicator {
	s := a.stream
	if s.unit.RequestID == "" || s.reads() || a.inTransaction {
		return nil
	}
	return &deduplicator{attempt: a, record: outcomeRecord{
		account: string(s.unit.Account), id: s.unit.RequestID, fingerprint: fingerprint(a.batch.Messages),
		digest: digestOfRequest(a.batch.Messages),
	}}
}

// finish is called after the batch was answered. It records the answer and commits, or
// replaces the answer by the recorded one if the request was executed before.
func (d *deduplicator) finish(ctx context.Context) error {
	a := d.attempt
	if d.recordError != "" {
		return d.handleRecordError(ctx)
	}
	switch {
	case a.answer.beganTransaction, a.answer.txStatus == 'I':
		// The caller has begun or already ended a transaction. The record belongs to it.
		return nil
	case a.answer.txStatus == 'E':
		a.answer.txStatus = 'I'
		_, err := runInternal(ctx, a.grant.conn, "ROLLBACK")
		return err
	}
	return d.commit(ctx)
}

// commit adds the answer to the record and commits the transaction.
func (d *deduplicator) commit(ctx context.Context) error {
	a := d.attempt
	commit := "COMMIT"
	if !a.answer.forwarded {
		answer, err := d.record.encodeAnswer(a.answer.buffer)
		if err != nil {
			return err
		}
		commit = d.record.commitSQL(answer)
	}
	got, err := runInternal(ctx, a.grant.conn, commit)
	if err != nil {
		return err
	}
	if got.errorCode != "" {
		d.recordError = got.errorCode
		return d.handleRecordError(ctx)
	}
	a.answer.txStatus, a.answer.point = got.txStatus, got.point
	return nil
}

// handleRecordError handles a server that rejected the record. The batch had no effect
// then. If the record exists already, the batch is answered from it.
func (d *deduplicator) handleRecordError(ctx context.Context) error {
	a := d.attempt
	if a.answer.forwarded {
		return &faultError{retry.FaultCommitUnconfirmed, errors.New("outcome record was rejected after a part of the answer was passed on")}
	}
	a.answer.reset()
	if _, err := runInternal(ctx, a.grant.conn, "ROLLBACK"); err != nil {
		return err
	}
	switch d.recordError {
	case sqlstateUniqueViolation:
		return d.answerFromRecord(ctx)
	case sqlstateReadOnly, sqlstateFenced:
		return &faultError{retry.FaultNotPrimary, errors.New("server rejected a write with SQLSTATE " + d.recordError)}
	case sqlstateUndefinedTable:
		return notRun(model.ReasonBadMessage, "request ids need the table request_outcomes")
	}
	return notRun(model.ReasonBadMessage, "the outcome can't be recorded: "+d.recordError)
}

// answerFromRecord replaces the answer by the recorded one.
func (d *deduplicator) answerFromRecord(ctx context.Context) error {
	a := d.attempt
	got, err := runInternal(ctx, a.grant.conn, d.record.selectSQL())
	if err != nil {
		return err
	}
	if got.errorCode != "" || len(got.rows) == 0 {
		// The transaction that held the same request id was rolled back in the meantime.
		return &faultError{retry.FaultNotSent, fmt.Errorf("no recorded outcome found for the request id, SQLSTATE %q", got.errorCode)}
	}
	answer, err := d.record.decodeAnswer(got.rows[0])
	if err != nil {
		return notRun(model.ReasonBadMessage, "the recorded outcome can't be read")
	}
	a.answer.buffer, a.answer.txStatus, a.answer.point, a.answer.readRows = answer, 'I', got.point, true
	return nil
}
