package gate

import (
	"container/list"
	"crypto/sha256"
)

// statementDigest is the result of wire.StatementDigest.
type statementDigest = [sha256.Size]byte

// sharedStatement is a prepared statement that sessions share. The name comes from the entry.
// Entries of older builds name statements by a hash for which a caller can construct a second
// text, so the name alone doesn't identify the statement.
type sharedStatement struct {
	name   string
	digest statementDigest
}

// statementCache is the set of shared prepared statements that a server has for one
// connection, in the order of their last use. It exceeds its limit until evictSurplus is
// called.
type statementCache struct {
	limit    int
	order    *list.List
	elements map[string]*list.Element
}

func newStatementCache(limit int) *statementCache {
	return &statementCache{limit: limit, order: list.New(), elements: map[string]*list.Element{}}
}

// use returns the digest of the statement that the connection has under this name, and marks
// it as the last used. It returns false if there is none.
func (s *statementCache) use(name string) (statementDigest, bool) {
	element, ok := s.elements[name]
	if !ok {
		return statementDigest{}, false
	}
	s.order.MoveToFront(element)
	return element.Value.(sharedStatement).digest, true
}

// add records a statement that the server has parsed.
func (s *statementCache) add(statement sharedStatement) {
	s.remove(statement.name)
	s.elements[statement.name] = s.order.PushFront(statement)
}

// remove records that the server has no statement of this name.
func (s *statementCache) remove(name string) {
	if element, ok := s.elements[name]; ok {
		s.order.Remove(element)
		delete(s.elements, name)
	}
}

// evictSurplus removes and returns the names of the least recently used statements above the
// limit. The caller has to close them at the server.
func (s *statementCache) evictSurplus() []string {
	var evicted []string
	for s.order.Len() > s.limit {
		name := s.order.Back().Value.(sharedStatement).name
		s.remove(name)
		evicted = append(evicted, name)
	}
	return evicted
}
