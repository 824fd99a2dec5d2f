package pgsim

import (
	"time"

	"pomelofork/core/model"
)

// becomePrimary makes the server primary of the given term and appends the empty entry with
// which the term begins. The caller holds the lock.
func (s *server) becomePrimary(term model.Term, now time.Time) {
	s.promised, s.primary, s.fencedPrimary = term, true, false
	s.log = append(s.log, logEntry{term: term, receivedAt: now})
	s.applyUpTo(len(s.log))
	s.group.notifyAll()
}

// fence makes the server accept nothing from a term below the given one. It fails if a
// newer term has been promised. The caller holds the lock.
func (s *server) fence(term model.Term) error {
	if term < s.promised {
		return sqlError{"55000", "a newer term was promised"}
	}
	if term > s.promised {
		s.raisePromisedTerm(term)
	}
	return nil
}

// raisePromisedTerm sets the promised term, and makes a primary of an older term a replica.
// The caller holds the lock.
func (s *server) raisePromisedTerm(term model.Term) {
	s.promised = term
	s.fencedPrimary = s.fencedPrimary || s.primary
	s.primary = false
	s.notifyChange()
}

// promote makes the server primary of the term that it has promised, and fails for any
// other term. The caller holds the lock.
func (s *server) promote(term model.Term, now time.Time) error {
	if term != s.promised {
		return sqlError{"55000", "another term was promised"}
	}
	if !s.primary {
		s.becomePrimary(term, now)
	}
	return nil
}

// writable returns nil if the server may accept writes. The caller holds the lock.
func (s *server) writable() error {
	switch {
	case s.primary:
		return nil
	case s.fencedPrimary:
		return sqlError{"57P04", "server was fenced at a newer term"}
	default:
		return sqlError{"25006", "server is a replica"}
	}
}

// commit appends the writes of the transaction as one log entry and returns its log point.
// It fails if the server isn't primary of the transaction's term any more, or if another
// transaction has recorded the same request in the meantime. The caller holds the lock.
func (s *server) commit(t *transaction, now time.Time) (model.Point, error) {
	if s.primary && s.promised != t.term {
		return model.Point{}, sqlError{"57P04", "transaction of an older term"}
	}
	if !s.primary {
		return model.Point{}, sqlError{"57P04", "server was fenced at a newer term"}
	}
	for _, w := range t.writes {
		insert, ok := w.(outcomeWrite)
		if !ok {
			continue
		}
		if _, exists := s.data.outcomes[insert.key]; exists {
			return model.Point{}, errDuplicateRequest
		}
	}
	s.log = append(s.log, logEntry{term: s.promised, writes: t.writes, receivedAt: now})
	s.applyUpTo(len(s.log))
	s.group.notifyAll()
	return s.logPoint(len(s.log)), nil
}
