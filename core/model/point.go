package model

import (
	"fmt"
	"strconv"
	"strings"
)

// Term counts the primaries of one service. It starts at 1 and only grows.
type Term uint64

// Position is an index into the log of one service. It starts at 0 (empty log).
type Position uint64

// Point is a place in the log of one service: the term of the entry and its index.
type Point struct {
	term Term
	pos  Position
}

// NewPoint returns the point at index pos, written in term.
func NewPoint(term Term, pos Position) Point {
	return Point{term: term, pos: pos}
}

// Term returns the term in which the entry at this point was written.
func (p Point) Term() Term { return p.term }

// Pos returns the index of the entry in the log.
func (p Point) Pos() Position { return p.pos }

// IsZero reports whether p lies before every entry.
func (p Point) IsZero() bool { return p == Point{} }

// Covers reports whether a server that has applied its log up to p has also
// applied the acknowledged entry at other.
//
// Both parts must hold. A deposed primary can have a high index and an old term,
// and its tail was never acknowledged: (1, 90) doesn't cover (2, 80).
func (p Point) Covers(other Point) bool {
	return p.term >= other.term && p.pos >= other.pos
}

// Less orders points as an election does: by term first, by index second.
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

// ParsePoint reads the form that String writes.
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
