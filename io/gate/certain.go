package gate

import (
	"context"
	"errors"

	"pomelofork/core/assert"
	"pomelofork/core/retry"
)

// errPrimaryReplaced says that the server may no longer be the primary of the newest term.
var errPrimaryReplaced = errors.New("primary may have been replaced")

// waitCertain waits until the answer is certain: no failover can lose what was committed,
// and what was read as current came from a server that really was the primary then.
// Answers of replicas are certain at once.
func (a *attempt) waitCertain(ctx context.Context) error {
	answer, s := a.answer, a.stream
	if !a.pick.Primary {
		s.gateway.config.Check.Hold(answer.point.IsZero() || !s.requirements.TokenKnown || answer.point.Covers(s.requirements.Token),
			assert.InvariantReadYourWrites, "read at log point %s of server %s, which does not cover the token %s", answer.point, a.pick.Server, s.requirements.Token)
		return nil
	}
	if !s.reads() && a.notPrimary(ctx) {
		return &faultError{retry.FaultNotPrimary, errors.New("server rejected a write with SQLSTATE " + answer.errorCode)}
	}
	if answer.txStatus == 'I' && !answer.point.IsZero() {
		if err := s.gateway.config.Group.WaitCommitted(ctx, answer.point); err != nil {
			return &faultError{a.uncertainFault(), err}
		}
	}
	if !s.reads() && !answer.readRows {
		return nil
	}
	if err := a.confirmPrimary(ctx); err != nil {
		return &faultError{a.uncertainFault(), err}
	}
	return nil
}

// uncertainFault returns the fault of an answer that didn't become certain. As long as the
// transaction is open, only the read is uncertain, since closing the connection rolls back
// the effects.
func (a *attempt) uncertainFault() retry.Fault {
	if a.stream.reads() || a.answer.txStatus != 'I' {
		return retry.FaultReadUnconfirmed
	}
	return retry.FaultCommitUnconfirmed
}

// notPrimary reports whether the server rejected a write because it isn't the primary. The
// SQLSTATE for a read-only transaction is no proof of that, since a caller may begin such a
// transaction at the primary too.
func (a *attempt) notPrimary(ctx context.Context) bool {
	switch a.answer.errorCode {
	case sqlstateFenced:
		return true
	case sqlstateReadOnly:
		return a.confirmPrimary(ctx) != nil
	}
	return false
}

// confirmPrimary returns nil once it is certain that the server was still the primary at a
// time after the unit began, or if the server was not chosen as primary.
func (a *attempt) confirmPrimary(ctx context.Context) error {
	s, group := a.stream, a.stream.gateway.config.Group
	if s.primaryConfirmed || !a.pick.Primary {
		return nil
	}
	if err := a.checkPrimary(); err != nil {
		return err
	}
	if err := group.WaitConfirmed(ctx, s.began); err != nil {
		return &faultError{retry.FaultReadUnconfirmed, err}
	}
	if err := a.checkPrimary(); err != nil {
		return err
	}
	s.primaryConfirmed = true
	return nil
}

// checkPrimary returns an error if a newer term or another primary is known.
func (a *attempt) checkPrimary() error {
	known := a.stream.gateway.config.Group.Snapshot()
	if primary, ok := known.Primary(); ok && primary == a.pick.Server && known.Term() == a.pick.Term {
		return nil
	}
	return &faultError{retry.FaultReadUnconfirmed, errPrimaryReplaced}
}
