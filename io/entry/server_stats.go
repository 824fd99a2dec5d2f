package entry

import (
	"time"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/stmt"
	"pomelofork/io/clock"
)

// stats returns what is known of a server. The caller holds the lock.
func (e *Entry) stats(now time.Time, id model.ServerID) *serverStats { return e.servers.Get(now, id) }

// runOrder runs an order and updates what is known of the server from the result.
func (e *Entry) runOrder(now time.Time, server plan.Server, order *stmt.Order) stmt.Result {
	e.mu.Lock()
	e.stats(now, server.ID).inFlight++
	sent := e.sent(now, server, order)
	e.mu.Unlock()
	result := e.config.Fleet.Run(now, server, order)
	done := clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats(done, server.ID)
	stats.inFlight--
	stats.wait, stats.waitAt = result.Wait, done
	if !result.NotSent {
		stats.openingShare, stats.openingReported = result.OpeningShare, true
	}
	e.learn(done, sent, server, &result)
	if e.config.passesOverCold() && refusedCold(now, server, result) {
		stats.passedOverUntil = done.Add(result.RetryAfter)
	}
	switch result.Answer.Code {
	case stmt.CodeConnectionLost:
		stats.suspectUntil = done.Add(suspectDuration)
	case stmt.CodeFailed:
		stats.failureRate += smoothingFactor * (1 - stats.failureRate)
	case stmt.CodeDone:
		stats.suspectUntil = time.Time{}
		stats.failureRate -= smoothingFactor * stats.failureRate
		if order.Unit == 0 && order.Reads() {
			stats.latency += time.Duration(smoothingFactor * float64(done.Sub(now)-stats.latency))
			stats.latencyAt = done
		}
	}
	if point := result.Answer.Point; !point.IsZero() {
		stats.point, stats.pointAt = point, now
	} else if result.Answer.Code == stmt.CodeLagging {
		stats.pointAt = now
	}
	if result.Answer.Code == stmt.CodeLagging {
		stats.laggingUntil = done.Add(laggingMemory)
	}
	if !result.Latest.IsZero() {
		e.history(done, server.Service).Add(now.Add(-result.LatestAge), result.Latest)
	}
	return result
}

// suspectsDomain reports whether the servers of a failure domain are chosen only if there are no
// others, because the domain is suspected of having failed.
func (e *Entry) suspectsDomain(domain model.Domain) bool {
	return e.config.SuspectsDomain != nil && e.config.SuspectsDomain(domain)
}
