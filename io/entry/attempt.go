package entry

import (
	"log/slog"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/pick"
	"pomelofork/core/place"
	"pomelofork/core/plan"
	"pomelofork/core/stmt"
	"pomelofork/core/trial"
	"pomelofork/io/clock"
	"pomelofork/io/logs"
)

// run tries servers until one has run the statement or none can in time. It returns the
// last result and the server that was tried last.
func (a *attempts) run() (stmt.Result, plan.Server) {
	e := a.session.entry
	last := refuseWithoutServer(noServerRetryAfter)
	var server plan.Server
	defer a.leaveLine()
	for tries := 0; tries < maxAttempts; {
		now := clock.Now()
		if !now.Before(a.deadline()) {
			break
		}
		chosen, ok := a.chooseServer(now)
		if !ok && a.hasNoHome() {
			if !a.sent {
				last = refuseOutsideHomes()
			}
			break
		}
		decision := a.decide(now, chosen, ok, tries)
		if decision.Action == pick.ActionWait {
			a.awaitReplica(decision.After)
			continue
		}
		if decision.Action == pick.ActionRefuse {
			last = refuseWithReason(decision)
			break
		}
		if decision.Action == pick.ActionStop {
			last.RetryAfter = max(last.RetryAfter, decision.After)
			break
		}
		if !ok {
			if a.queueRefusal != nil {
				last = *a.queueRefusal
				break
			}
			if a.coldForLong(now) || !a.awaitServer(now) {
				if a.retryAfter > 0 {
					last = refuseWithoutServer(a.retryAfter)
				}
				break
			}
			clear(a.excluded)
			continue
		}
		a.leaveLine()
		tries++
		server = chosen
		a.order.Server, a.order.Epoch = chosen.ID, chosen.Epoch
		a.order.Target = a.received.Add(a.route.TargetLatency).Sub(now)
		a.order.Timeout = a.deadline().Sub(now)
		last = e.runOrder(now, chosen, &a.order)
		a.sent = a.sent || !last.NotSent
		a.noteQueueRefusal(last)
		a.forgetLost(now, chosen, last)
		if a.primary && last.Answer.Code == stmt.CodeDone {
			e.recordWork(a.route.Service, now, last.Wait)
		}
		if !a.mayRetry(last) {
			break
		}
		e.config.Meter.Repeated(last.Answer.Code)
		a.session.log(slog.LevelInfo, "attempt to be repeated", slog.String("request", logs.Shortened(a.order.Statement.ID)), slog.String("server", string(chosen.ID)),
			slog.String("code", last.Answer.Code.String()), slog.String("reason", logs.Shortened(last.Answer.Text)), slog.String("after", a.order.After.String()))
		a.excluded[chosen.ID] = true
	}
	if last.Answer.Code.NotRun() || last.NotSent {
		// Codes that describe the state of a server mean nothing to the caller.
		last.Answer = stmt.Refuse(stmt.CodeBusy, stmt.StateIdle, withRetryAfter(last.Answer.Text, last.RetryAfter))
	}
	return last, server
}

// returnTokenIfNotSent returns the token of the operation if no attempt of its first statement can
// have reached a server.
func (a *attempts) returnTokenIfNotSent() {
	if !a.sent && a.account != "" {
		a.session.entry.returnToken(clock.Now(), a.account, a.token)
	}
}

// refuseWithoutServer returns the result of a statement that no server can take.
func refuseWithoutServer(retryAfter time.Duration) stmt.Result {
	return stmt.Result{Answer: stmt.Refuse(stmt.CodeBusy, stmt.StateIdle, "no server can take the statement"), NotSent: true, RetryAfter: retryAfter}
}

// mayRetry reports whether the statement may be tried once more after the given result.
// It also notes that an attempt failed, because a failed read is tried only once more.
func (a *attempts) mayRetry(result stmt.Result) bool {
	switch code := result.Answer.Code; {
	case code == stmt.CodeConnectionLost:
		return result.NotSent || (a.order.Unit == 0 && !a.order.Writes())
	case code == stmt.CodeFailed:
		// A server may fail statements that others run, although its health check passes.
		// One more attempt does no harm for a read, so there is one, but no more.
		retry := a.allowsStale && a.order.Unit == 0 && !a.failed && !a.session.entry.config.Disabled.Has(trial.ReadRetry)
		a.failed = true
		return retry
	case code == stmt.CodeBusy && result.NotSent && result.RetryAfter > 0:
		// The server's queue is too long. Another server's may be shorter.
		return !a.primary
	default:
		return code.NotRun()
	}
}

// chooseServer returns the server of the next attempt and sets the point that the order
// needs. Suspected servers are chosen only if there are no others.
func (a *attempts) chooseServer(now time.Time) (plan.Server, bool) {
	required := place.Requirement{Primary: a.primary}
	if a.allowsStale {
		point, ok := a.requiredPoint(now)
		if !ok {
			required.Primary = true
			a.order.Prove = a.order.Begin == stmt.OpPass
		} else {
			a.order.Prove = false
		}
		required.After = point
		a.order.After = point
	}
	for _, s := range a.session.entry.scopes(a.route.Service) {
		if server, ok := a.bestCandidate(now, required, s); ok {
			return server, true
		}
	}
	return plan.Server{}, false
}

// bestCandidate chooses among the servers that have not been tried and belong to the scope.
func (a *attempts) bestCandidate(now time.Time, required place.Requirement, s scope) (plan.Server, bool) {
	e := a.session.entry
	var candidates []place.Candidate
	var passedOver time.Time
	e.mu.Lock()
	for _, server := range e.config.View.State().Services[a.route.Service] {
		id := server.ID
		if a.excluded[id] || !e.config.Homes.Allows(a.order.Homes, server.Domain) {
			continue
		}
		if server.Draining && now.Sub(server.DrainingSince) > drainingGrace {
			continue
		}
		if !e.mayPlace(now, required, server, s) {
			continue
		}
		stats := e.stats(now, id)
		if !required.Primary && e.passOver(now, stats) {
			passedOver = earlier(passedOver, stats.passedOverUntil)
			continue
		}
		if !s.withSuspected && (now.Before(stats.suspectUntil) || e.suspectsDomain(server.Domain)) {
			continue
		}
		candidates = append(candidates, place.Candidate{
			Server: server, Point: stats.point, PointAt: stats.pointAt, Wait: stats.wait, WaitAt: stats.waitAt, InFlight: stats.inFlight,
			Latency: stats.latency, LatencyAt: stats.latencyAt, FailureRate: stats.failureRate,
			SameDomain: server.Domain == e.config.Domain, Lagging: now.Before(stats.laggingUntil),
			Cold: e.config.passesOverCold() && server.Cold(now), ColdInterval: e.coldInterval(server.Service),
		})
	}
	if !required.Primary && !e.config.Disabled.Has(trial.UsualReplica) {
		place.MarkUsual(a.order.Account, e.openingCost(now, a.route.Service, candidates), candidates)
	}
	a.look(now, required, candidates)
	e.mu.Unlock()
	if a.passedOver = passedOver; len(candidates) > 0 {
		a.passedOver = time.Time{}
	}
	e.disablePlacement(candidates)
	i, ok := place.Choose(now, required, candidates)
	if !ok {
		return plan.Server{}, false
	}
	return candidates[i].Server, true
}

// disablePlacement makes candidates equal in what isn't to count.
func (e *Entry) disablePlacement(candidates []place.Candidate) {
	if e.config.Disabled.Empty() {
		return
	}
	for i := range candidates {
		c := &candidates[i]
		if e.config.Disabled.Has(trial.DomainPlacement) {
			c.SameDomain = true
		}
		if e.config.Disabled.Has(trial.WaitPlacement) {
			c.Wait, c.InFlight = 0, 0
		}
		if e.config.Disabled.Has(trial.LatencyPlacement) {
			c.Latency, c.FailureRate = 0, 0
		}
	}
}

// newestPoint is the answer to the question for the newest point of a service.
type newestPoint struct {
	at    time.Time
	point model.Point
	found bool
}

// askNewestPoint asks the fleet for the newest point of a service. Reads that need it at the same time share
// one question.
func (e *Entry) askNewestPoint(now time.Time, service model.ServiceID) newestPoint {
	answer, _, _ := e.points.Do(string(service), func() (any, error) {
		at, point, found := e.config.Fleet.NewestPoint(now, service)
		if found {
			e.Observe(service, at, point)
		}
		return newestPoint{at, point, found}, nil
	})
	return answer.(newestPoint)
}

// requiredPoint returns the point that a read's server must have reached. It returns
// false if no known point is recent enough for the route, or the session's own commits aren't known.
func (a *attempts) requiredPoint(now time.Time) (model.Point, bool) {
	own, known := a.session.ownPoint(a.route)
	if !known {
		return model.Point{}, false
	}
	e := a.session.entry
	since := a.received.Add(ageMargin - a.route.MaxAge)
	e.mu.Lock()
	point, ok := e.history(now, a.route.Service).OldestCovering(since)
	e.mu.Unlock()
	if !ok {
		newest := e.askNewestPoint(now, a.route.Service)
		if !newest.found || newest.at.Before(since) {
			return model.Point{}, false
		}
		point = newest.point
	}
	if point.Less(own) {
		point = own
	}
	return point, true
}
