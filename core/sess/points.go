package sess

import (
	"cmp"
	"slices"
	"strings"

	"pomelofork/core/model"
)

const (
	// pairOverhead is what one service takes in the bound of Points beside its name, in bytes: the fields of a pair
	// in memory, and more than a point in the text form.
	pairOverhead = 48
	// maxNewestBytes bounds the points of one session that are kept in memory only.
	maxNewestBytes = 8 * 1024
)

// Policy says how the points of a session are kept.
type Policy interface {
	// Merge returns the point that a read has to reach to see two commits of one session at one service, given the
	// point recorded before and that of a later commit.
	Merge(recorded, later model.Point) model.Point
	// MaxBytes bounds what the points of one session take together, by Bytes.
	MaxBytes() int
}

// Joined is for services whose logs keep every acknowledged commit: a read must reach both points.
type Joined struct{}

// MaxBytes implements Policy, so that the text form has at most MaxTextBytes.
func (Joined) MaxBytes() int { return MaxTextBytes - len(anyService+"=0/0,") }

// Merge implements Policy. It returns the smallest point that covers both.
func (Joined) Merge(recorded, later model.Point) model.Point {
	return model.NewPoint(max(recorded.Term(), later.Term()), max(recorded.Pos(), later.Pos()))
}

// Newest is for services where a promotion may drop acknowledged commits, so that a log of a later term may be
// shorter. Such a log has what is left of the commits of earlier terms, so the later point is enough. The join of
// 2/100 and 3/90 would have reads wait for ten commits that others may never make.
type Newest struct{}

// MaxBytes implements Policy.
func (Newest) MaxBytes() int { return maxNewestBytes }

// Merge implements Policy. It returns the later of the two in the order of terms.
func (Newest) Merge(recorded, later model.Point) model.Point {
	if recorded.Less(later) {
		return later
	}
	return recorded
}

// pair is the point of one service.
type pair struct {
	service model.ServiceID
	point   model.Point
}

// Points holds, for each service, the point that a read of one session has to reach there to see the session's own
// commits. A service keeps its point while the session uses others: a route may lead to another service and back
// between two statements. In the zero value the points of all services are unknown. It is not safe for concurrent
// use.
//
// Its size is bounded. What it has to forget becomes unknown, never 0/0: a read of a service whose point is unknown
// needs the primary.
type Points[P Policy] struct {
	// pairs are ordered by their last change, the oldest first.
	pairs []pair
	// bytes is what the pairs take, by size.
	bytes int
	// wroteNothing says that the session has written nothing at the services without a pair.
	wroteNothing bool
}

// NewPoints returns the points of a session that has written nothing at any service.
func NewPoints[P Policy]() Points[P] { return Points[P]{wroteNothing: true} }

// Point returns the point for a service, and false if that is unknown. It is 0/0 for a session that is known to have
// written nothing there.
func (p *Points[P]) Point(service model.ServiceID) (model.Point, bool) {
	if i := p.index(service); i >= 0 {
		return p.pairs[i].point, true
	}
	return model.Point{}, p.wroteNothing
}

// Advance records that a read has to reach a point at a service, and reports whether that changed anything. If the
// pairs then take more than the policy allows, the services that have gone longest without a change become unknown. A
// point of 0/0 is that of a commit whose place in the log isn't known, so that the service becomes unknown too.
func (p *Points[P]) Advance(service model.ServiceID, point model.Point) bool {
	if point.IsZero() {
		return p.Forget(service)
	}
	var policy P
	i := p.index(service)
	if i < 0 {
		p.pairs = append(p.pairs, pair{service, point})
		p.bytes += size(service)
		for p.bytes > policy.MaxBytes() {
			p.Forget(p.pairs[0].service)
		}
		return true
	}
	merged := policy.Merge(p.pairs[i].point, point)
	if merged == p.pairs[i].point {
		return false
	}
	p.pairs = append(slices.Delete(p.pairs, i, i+1), pair{service, merged})
	return true
}

// Learn records the point of an answer of the primary to a read, and reports whether that changed anything. It does
// only if the point of the service was unknown: the primary's log contains all that the session ever wrote, and with
// a known point replicas can continue to serve the session.
func (p *Points[P]) Learn(service model.ServiceID, point model.Point) bool {
	if _, known := p.Point(service); known || point.IsZero() {
		return false
	}
	return p.Advance(service, point)
}

// Forget makes the point of a service unknown, and reports whether it was known. The services without a pair
// become unknown as well.
func (p *Points[P]) Forget(service model.ServiceID) bool {
	_, known := p.Point(service)
	p.wroteNothing = false
	if i := p.index(service); i >= 0 {
		p.pairs = slices.Delete(p.pairs, i, i+1)
		p.bytes -= size(service)
	}
	return known
}

// Bytes returns what the pairs take. Each counts for the bytes of its name and pairOverhead.
func (p *Points[P]) Bytes() int { return p.bytes }

// size returns what the pair of a service takes, in bytes.
func size(service model.ServiceID) int { return len(service) + pairOverhead }

func (p *Points[P]) index(service model.ServiceID) int {
	return slices.IndexFunc(p.pairs, func(other pair) bool { return other.service == service })
}

// String returns "service=term/index" pairs, sorted by service and joined by commas. The
// service "*" stands for every service without a pair.
func (p *Points[P]) String() string {
	sorted := slices.Clone(p.pairs)
	if p.wroteNothing {
		sorted = append(sorted, pair{service: anyService})
	}
	slices.SortFunc(sorted, func(a, b pair) int { return cmp.Compare(a.service, b.service) })
	texts := make([]string, 0, len(sorted))
	for _, s := range sorted {
		texts = append(texts, string(s.service)+"="+s.point.String())
	}
	return strings.Join(texts, ",")
}
