package model

import (
	"fmt"
	"strconv"
	"strings"
)

// Term is the number of the period during which one backend server is the primary of a
// service. It starts at 1, and each change of primary increases it.
type Term uint64

// Position is the index of an entry in the log of one service. 0 stands for the empty log.
type Position uint64

// Point identifies an entry in the log of one service by its term and its index. The zero
// value lies before the first entry.
type Point struct {
	term Term
	pos  Position
}

// NewPoint returns the point of the entry at index pos that was written in term.
func NewPoint(term Term, pos Position) Point {
	return Point{term: term, pos: pos}
}

// Term returns the term in which the entry at this point was written.
func (p Point) Term() Term { return p.term }

// Pos returns the index of the entry in the log.
func (p Point) Pos() Position { return p.pos }

// IsZero reports whether p lies before the first entry.
func (p Point) IsZero() bool { return p == Point{} }

// Covers reports whether a server that has applied its log up to p has also
// applied the acknowledged entry at other.
//
// Neither the term nor the index may be lower. A replaced primary can have a higher index
// in an older term, but the last entries of its log were never acknowledged and may be
// missing from the current log. So 1/90 doesn't cover 2/80.
func (p Point) Covers(other Point) bool {
	return p.term >= other.term && p.pos >= other.pos
}

// Less orders points by term first and by index second, as the election of a primary
// compares logs.
func (p Point) Less(other Point) bool {
	if p.term != other.term {
		return p.term < other.term
	}
	return p.pos < other.pos
}

// String returns the form "term/index", for example "3/4711".
func (p Point) String() string {
	return strconv.FormatUint(uint64(p.term), 10) + "/" + strconv.FormatUint(uint64(p.pos), 10)
}

// ParsePoint parses the form that String returns.
func ParsePoint(s string) (Point, error) {
	left, right, found := strings.Cut(s, "/")
	if !found {
		return Point{}, fmt.Errorf("log point %q: want term/index", s)
	}
	term, err := strconv.ParseUint(left, 10, 64)
	if err != nil {
		return Point{}, fmt.Errorf("log point %q: term: %w", s, err)
	}
	pos, err := strconv.ParseUint(right, 10, 64)
	if err != nil {
		return Point{}, fmt.Errorf("log point %q: index: %w", s, err)
	}
	return NewPoint(Term(term), Position(pos)), nil
}
