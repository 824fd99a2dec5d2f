package entry

import (
	"time"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/stmt"
	"pomelofork/core/trial"
)

// passesOverCold reports whether reads prefer warm servers to cold ones.
func (c *Config) passesOverCold() bool {
	return c.ColdServers && !c.Disabled.Has(trial.ColdPlacement)
}

// refusedCold reports whether the gateway of a cold server refused a statement and said when to
// return.
func refusedCold(now time.Time, server plan.Server, result stmt.Result) bool {
	return server.Cold(now) && result.NotSent && result.Answer.Code == stmt.CodeBusy && result.RetryAfter > 0
}

// passOver reports whether a read passes a server over, because it is cold and takes no more for now.
// The caller holds the lock.
func (e *Entry) passOver(now time.Time, stats *serverStats) bool {
	return e.config.passesOverCold() && now.Before(stats.passedOverUntil)
}

// coldInterval returns the time between two statements that a cold server of the service can take, or
// zero if that isn't known.
func (e *Entry) coldInterval(service model.ServiceID) time.Duration {
	p := e.config.View.State().Plan
	if p == nil {
		return 0
	}
	if rate := p.ColdStart(service).PerSecond; rate > 0 {
		return time.Duration(float64(time.Second) / rate)
	}
	return 0
}

// earlier returns the earlier of two times, where zero stands for none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// coldForLong reports whether a read is to be refused at once, because there are only cold servers and
// none takes it for longer than it may wait for a server. It sets when to retry.
func (a *attempts) coldForLong(now time.Time) bool {
	if a.sent || a.passedOver.IsZero() || !a.passedOver.After(a.received.Add(min(a.route.TargetLatency/holdDivisor, a.route.Timeout))) {
		return false
	}
	a.retryAfter = a.passedOver.Sub(now)
	return true
}
