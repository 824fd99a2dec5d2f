package pgsim

import (
	"context"
	"slices"
	"time"

	"pomelofork/core/model"
)

// transaction is the open transaction of a session. Its writes are buffered until it is
// committed.
type transaction struct {
	// block is true for a transaction block between BEGIN and COMMIT, and false for the
	// implicit transaction of a batch.
	block bool
	// failed is true after an error. The transaction then accepts only statements that end
	// it.
	failed   bool
	readOnly bool
	// term is the term in which the first write was accepted, or 0 if there is no write.
	term   model.Term
	writes []write
}

// ensureTransaction returns the open transaction, and begins an implicit one if there is
// none.
func (s *session) ensureTransaction() *transaction {
	if s.tx == nil {
		s.tx = &transaction{readOnly: s.readOnlyDefault()}
	}
	return s.tx
}

// readOnlyDefault returns the setting default_transaction_read_only.
func (s *session) readOnlyDefault() bool {
	return slices.Contains([]string{"on", "true", "yes", "1"}, s.settings["default_transaction_read_only"])
}

// addWrite buffers one write. It fails if the transaction is read only, if the server
// doesn't accept writes, or if its term has changed since the first write. The caller holds
// the lock.
func (t *transaction) addWrite(s *server, w write) error {
	if t.readOnly {
		return errReadOnlyTx
	}
	if err := s.writable(); err != nil {
		return err
	}
	if t.term == 0 {
		t.term = s.promised
	}
	if t.term != s.promised {
		return sqlError{"57P04", "transaction of an older term"}
	}
	t.writes = append(t.writes, w)
	return nil
}

// visibleData returns the data that the transaction sees, including its own writes. Only
// the selected rows are sure to be present. The caller holds the lock.
func (t *transaction) visibleData(s *server, l lookup) *data {
	if len(t.writes) == 0 {
		return s.data
	}
	return s.data.withWrites(t.writes, l)
}

// commitTransaction commits the open transaction, or discards it if it has failed.
func (s *session) commitTransaction(ctx context.Context) error {
	t := s.tx
	s.tx = nil
	if t == nil || t.failed || len(t.writes) == 0 {
		return nil
	}
	return s.server.withLock(ctx, func() error {
		at, err := s.server.commit(t, time.Now())
		if err != nil {
			return err
		}
		s.pointToReport = at
		return nil
	})
}
