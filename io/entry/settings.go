package entry

import (
	"slices"
	"strings"

	"pomelofork/core/stmt"
)

const (
	// maxValues and maxValueBytes bound the session values of one session, by their number and by the bytes of their
	// names and contents. An order carries all of them to the gateway, beside a statement and the shape that it
	// executes, and the gateway compares them with those of its connections.
	maxValues     = 1000
	maxValueBytes = 2 << 20
	// maxPrepared and maxShapeBytes bound the prepared statements of one session, by their number and by the bytes of
	// their names and shapes.
	maxPrepared   = 1000
	maxShapeBytes = 4 << 20
)

// settings are the session values and the prepared statements of a caller's session.
type settings struct {
	// budget is that of all sessions.
	budget     *budget
	values     []stmt.Value
	valueBytes int
	prepared   map[string]stmt.Prepared
	shapeBytes int
}

// set sets a session value. It returns false, and changes nothing, if there would be too many of them, or those of
// all sessions would be too large.
func (s *settings) set(v stmt.Value) bool {
	i := slices.IndexFunc(s.values, func(other stmt.Value) bool { return other.Name == v.Name })
	size, count := s.valueBytes+len(v.Name)+len(v.Content), len(s.values)+1
	if i >= 0 {
		size -= len(v.Name) + len(s.values[i].Content)
		count--
	}
	if size > maxValueBytes || count > maxValues || !s.budget.resize(size-s.valueBytes) {
		return false
	}
	s.valueBytes = size
	// What a codec returns may be a part of the whole message, which would stay in memory.
	v.Content = strings.Clone(v.Content)
	if i < 0 {
		v.Name = strings.Clone(v.Name)
		s.values = append(s.values, v)
		return true
	}
	// Orders in flight refer to the former values.
	s.values = slices.Clone(s.values)
	s.values[i].Content = v.Content
	return true
}

// prepare stores a prepared statement. It returns false, and changes nothing, if there would be too many of them, or
// those of all sessions would be too large.
func (s *settings) prepare(name string, p stmt.Prepared) bool {
	size, count := s.shapeBytes+len(name)+len(p.Shape), len(s.prepared)+1
	if former, ok := s.prepared[name]; ok {
		size -= len(name) + len(former.Shape)
		count--
	}
	if size > maxShapeBytes || count > maxPrepared || !s.budget.resize(size-s.shapeBytes) {
		return false
	}
	if s.prepared == nil {
		s.prepared = map[string]stmt.Prepared{}
	}
	p.Shape = strings.Clone(p.Shape)
	s.shapeBytes, s.prepared[strings.Clone(name)] = size, p
	return true
}

// deallocate forgets a prepared statement, if there is one.
func (s *settings) deallocate(name string) {
	if former, ok := s.prepared[name]; ok {
		size := len(name) + len(former.Shape)
		s.shapeBytes -= size
		s.budget.resize(-size)
		delete(s.prepared, name)
	}
}

// release gives the budget back when the session ends.
func (s *settings) release() { s.budget.resize(-s.valueBytes - s.shapeBytes) }
