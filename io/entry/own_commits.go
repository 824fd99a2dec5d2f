package entry

import (
	"log/slog"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/sess"
	"pomelofork/core/stmt"
	"pomelofork/io/logs"
)

// ownCommits is what a session remembers of its own commits, which its reads on session routes have to see.
type ownCommits struct {
	points sess.Points[sess.Newest]
	// lastAt is when the last of them was acknowledged, or zero.
	lastAt time.Time
}

// recordCommit records the point of one of the session's commits at a service. It counts whatever the type of the
// present route is, since the next statement may be on another one.
func (s *session) recordCommit(now time.Time, service model.ServiceID, point model.Point) {
	s.own.lastAt = now
	s.changeOwn(service, func() { s.own.points.Advance(service, point) })
}

// learnOwn records the point of an answer of the service's primary, if it isn't known which commits the session has
// made there.
func (s *session) learnOwn(service model.ServiceID, point model.Point) {
	s.changeOwn(service, func() { s.own.points.Learn(service, point) })
}

// changeOwn changes the points within the budget of all sessions. Beyond it the service becomes unknown: a commit that
// was acknowledged can't be refused any more.
func (s *session) changeOwn(service model.ServiceID, change func()) {
	_, wasKnown := s.own.points.Point(service)
	before := s.own.points.Bytes()
	change()
	if !s.budget.resize(s.own.points.Bytes() - before) {
		s.own.points.Forget(service)
		s.budget.resize(s.own.points.Bytes() - before)
	}
	if _, known := s.own.points.Point(service); wasKnown && !known {
		s.log(slog.LevelInfo, "own commits of a session not known any more, its reads go to the primary", slog.String("service", logs.Shortened(string(service))))
	}
}

// ownPoint returns the point of the session's own commits that a read on the route has to see. It returns 0/0 on
// routes of other types, and false if the point isn't known.
func (s *session) ownPoint(route plan.Route) (model.Point, bool) {
	if route.Freshness != plan.FreshSession {
		return model.Point{}, true
	}
	return s.own.points.Point(route.Service)
}

// forgetLost forgets the session's commits at a service if its primary has just said that it lacks them, and a point
// is known that covers all commits acknowledged so far and lies before them. The log that had them is gone: the servers of
// the service started anew without it. Reads would wait for its end in vain.
func (a *attempts) forgetLost(now time.Time, server plan.Server, result stmt.Result) {
	own, known := a.session.ownPoint(a.route)
	if !known || own.IsZero() || !server.Primary || result.Answer.Code != stmt.CodeLagging || a.order.After != own {
		return
	}
	newest := a.session.entry.askNewestPoint(now, a.route.Service)
	if !newest.found || !newest.at.After(a.session.own.lastAt) || !newest.point.Less(own) {
		return
	}
	a.session.log(slog.LevelWarn, "log of a service lacks a session's own commit", slog.String("request", logs.Shortened(a.order.Statement.ID)),
		slog.String("service", logs.Shortened(string(a.route.Service))), slog.String("commit", own.String()), slog.String("newest", newest.point.String()))
	a.session.changeOwn(a.route.Service, func() { a.session.own.points.Forget(a.route.Service) })
}
