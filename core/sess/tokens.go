package sess

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"pomelofork/core/model"
)

// MaxTextBytes bounds the text form of the tokens of one session.
const MaxTextBytes = 64 * 1024

// textNew is the text by which a caller claims that its session has no past.
const textNew = "new"

// anyService stands for every service that has no pair of its own.
const anyService model.ServiceID = "*"

// Tokens holds the token of each service for one session. The zero value knows
// nothing: every service's token is unknown. It is used by one goroutine.
type Tokens struct {
	points map[model.ServiceID]model.Point
}

// Parse reads the form that String writes, or "new" for a session that has
// written nothing anywhere. Empty text gives tokens that know nothing.
func Parse(text string) (Tokens, error) {
	if len(text) > MaxTextBytes {
		return Tokens{}, fmt.Errorf("session token: %d bytes, at most %d", len(text), MaxTextBytes)
	}
	tokens := Tokens{points: map[model.ServiceID]model.Point{}}
	if text == textNew {
		tokens.points[anyService] = model.Point{}
		return tokens, nil
	}
	if text == "" {
		return tokens, nil
	}
	for pair := range strings.SplitSeq(text, ",") {
		if err := tokens.parsePair(pair); err != nil {
			return Tokens{}, err
		}
	}
	return tokens, nil
}

func (t *Tokens) parsePair(pair string) error {
	name, value, found := strings.Cut(pair, "=")
	if !found || name == "" {
		return fmt.Errorf("session token %q: want service=term/index", pair)
	}
	point, err := model.ParsePoint(value)
	if err != nil {
		return fmt.Errorf("session token of service %q: %w", name, err)
	}
	service := model.ServiceID(name)
	if _, twice := t.points[service]; twice {
		return fmt.Errorf("session token: service %q stands twice", name)
	}
	if service == anyService && !point.IsZero() {
		return fmt.Errorf("session token %q: only 0/0 can stand for every service", pair)
	}
	t.points[service] = point
	return nil
}

// Point returns the last place that the session wrote at the service, and false
// when that is unknown. A session that has surely written nothing has 0/0.
func (t *Tokens) Point(service model.ServiceID) (model.Point, bool) {
	if point, known := t.points[service]; known {
		return point, true
	}
	point, known := t.points[anyService]
	return point, known
}

// Advance records that the session wrote up to point, and reports whether the
// token changed. A token never gets weaker.
func (t *Tokens) Advance(service model.ServiceID, point model.Point) bool {
	old, known := t.points[service]
	if known && old.Covers(point) {
		return false
	}
	if t.points == nil {
		t.points = map[model.ServiceID]model.Point{}
	}
	t.points[service] = join(old, point)
	return true
}

// join returns the least point that covers both.
func join(a, b model.Point) model.Point {
	return model.NewPoint(max(a.Term(), b.Term()), max(a.Pos(), b.Pos()))
}

// String returns "service=term/index" pairs in the order of the services, joined
// by commas. The service "*" stands for every service without a pair.
func (t *Tokens) String() string {
	pairs := make([]string, 0, len(t.points))
	for _, service := range slices.Sorted(maps.Keys(t.points)) {
		pairs = append(pairs, string(service)+"="+t.points[service].String())
	}
	return strings.Join(pairs, ",")
}
