package pgsim

import (
	"time"

	"pomelofork/core/model"
)

// lead makes the server primary of term. The caller holds the lock.
func (s *server) lead(term model.Term, now time.Time) {
	s.promised, s.primary, s.deposed = term, true, false
	s.log = append(s.log, entry{term: term, held: now})
	s.applyUpTo(len(s.log))
	s.group.wakeAll()
}

// fence makes the server take nothing of a term below term. The caller holds the lock.
func (s *server) fence(term model.Term) error {
	if term < s.promised {
		return fault{"55000", "a newer term was promised"}
	}
	if term > s.promised {
		s.promise(term)
	}
	return nil
}

// promise raises the promised term and ends the lead of an older one.
func (s *server) promise(term model.Term) {
	s.promised = term
	s.deposed = s.deposed || s.primary
	s.primary = false
	s.notify()
}

// promote makes the server primary of the term that it has promised.
func (s *server) promote(term model.Term, now time.Time) error {
	if term != s.promised {
		return fault{"55000", "another term was promised"}
	}
	if !s.primary {
		s.lead(term, now)
	}
	return nil
}

// writable returns nil when the server may take writes.
func (s *server) writable() error {
	switch {
	case s.primary:
		return nil
	case s.deposed:
		return fault{"57P04", "server was fenced at a newer term"}
	default:
		return fault{"25006", "server is a replica"}
	}
}

// commit appends the writes as one entry and returns its log point. The caller holds
// the lock.
func (s *server) commit(t *transaction, now time.Time) (model.Point, error) {
	if s.primary && s.promised != t.term {
		return model.Point{}, fault{"57P04", "transaction of an older term"}
	}
	if !s.primary {
		return model.Point{}, fault{"57P04", "server was fenced at a newer term"}
	}
	for _, w := range t.writes {
		record, ok := w.(outcomeWrite)
		if !ok {
			continue
		}
		if _, there := s.data.outcomes[record.key]; there {
			return model.Point{}, duplicate
		}
	}
	s.log = append(s.log, entry{term: s.promised, writes: t.writes, held: now})
	s.applyUpTo(len(s.log))
	s.group.wakeAll()
	return s.point(len(s.log)), nil
}
