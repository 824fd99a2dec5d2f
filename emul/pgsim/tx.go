package pgsim

import (
	"context"
	"slices"
	"time"

	"pomelofork/core/model"
)

// transaction is open work of one session.
type transaction struct {
	// block is true between BEGIN and COMMIT, false for a batch without BEGIN.
	block bool
	// failed is true after an error: only the end of the block is taken.
	failed   bool
	readOnly bool
	// term is the term in which the first write was taken, or 0.
	term   model.Term
	writes []write
}

// open returns the transaction to run in and starts an implicit one if needed.
func (s *session) open() *transaction {
	if s.tx == nil {
		s.tx = &transaction{readOnly: s.readOnlyDefault()}
	}
	return s.tx
}

// readOnlyDefault is the value of default_transaction_read_only.
func (s *session) readOnlyDefault() bool {
	return slices.Contains([]string{"on", "true", "yes", "1"}, s.settings["default_transaction_read_only"])
}

// add buffers one write. The caller holds the lock.
func (t *transaction) add(s *server, w write) error {
	if t.readOnly {
		return readOnly
	}
	if err := s.writable(); err != nil {
		return err
	}
	if t.term == 0 {
		t.term = s.promised
	}
	if t.term != s.promised {
		return fault{"57P04", "transaction of an older term"}
	}
	t.writes = append(t.writes, w)
	return nil
}

// view is the data as the transaction sees it. The caller holds the lock.
func (t *transaction) view(s *server, l lookup) *data {
	if len(t.writes) == 0 {
		return s.data
	}
	return s.data.with(t.writes, l)
}

// finish commits the open transaction, or drops it when it has failed.
func (s *session) finish(ctx context.Context) error {
	t := s.tx
	s.tx = nil
	if t == nil || t.failed || len(t.writes) == 0 {
		return nil
	}
	return s.server.locked(ctx, func() error {
		at, err := s.server.commit(t, time.Now())
		if err != nil {
			return err
		}
		s.seen = at
		return nil
	})
}
