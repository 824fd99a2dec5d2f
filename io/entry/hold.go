package entry

import (
	"time"

	"pomelofork/core/evac"
	"pomelofork/core/hold"
	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/trial"
	"pomelofork/io/clock"
	"pomelofork/io/view"
)

// gapPoll is the longest time after which a statement that waits for a primary is checked again.
const gapPoll = 100 * time.Millisecond

// primaryGap is what the entry knows of the times without a primary of one service.
type primaryGap struct {
	// waiting is the number of statements in the line.
	waiting  int
	forecast hold.Forecast
	line     hold.Line
}

// gap returns what is known of a service's gaps. The caller holds the lock.
func (e *Entry) gap(now time.Time, service model.ServiceID) *primaryGap {
	return e.gaps.Get(now, service)
}

// gapOf converts a vacancy.
func gapOf(v view.Vacancy) hold.Gap { return hold.Gap{Promoting: v.Promoting, Since: v.Since} }

// StateChanged wakes the statements that wait for a server, and learns from the gaps that have ended.
func (e *Entry) StateChanged(now time.Time, s *view.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.stateChanged)
	e.stateChanged = make(chan struct{})
	for service, former := range e.vacancies {
		present, vacant := s.Vacancies[service]
		if vacant && present == former {
			continue
		}
		g := e.gap(now, service)
		if !vacant {
			g.line.GapEnded()
		}
		if (vacant && present.Promoting) || (!vacant && former.Promoting) {
			g.forecast.Observe(now, gapOf(former))
		}
	}
	e.vacancies = s.Vacancies
}

// awaitServer waits until another server may be able to run the statement. It returns false if the
// statement is to be rejected, because none is expected in time.
func (a *attempts) awaitServer(now time.Time) bool {
	e := a.session.entry
	state := e.config.View.State()
	servers := state.Services[a.route.Service]
	if e.allClosed(now, a.order.Homes, servers) {
		a.retryAfter = evac.ReturnAfter
		return false
	}
	vacancy, vacant := state.Vacancies[a.route.Service]
	if since, closed := e.primaryClosed(now, servers); !vacant && closed && a.primary {
		vacancy, vacant = view.Vacancy{Since: since}, true
	}
	if !vacant || e.config.Disabled.Has(trial.PromotionWait) {
		if now.After(a.received.Add(min(a.route.TargetLatency/holdDivisor, a.route.Timeout))) {
			return false
		}
		time.Sleep(serverRetryPause)
		return true
	}
	request := hold.Request{Received: a.received, Timeout: a.deadline().Sub(a.received), Slots: slots(servers), Instances: len(state.Instances)}
	e.mu.Lock()
	g := e.gap(now, a.route.Service)
	end := g.forecast.End(now, gapOf(vacancy))
	var ok bool
	if a.waits {
		ok = g.line.Stays(end, request)
	} else {
		a.retryAfter, ok = g.line.Enter(now, end, request)
		if a.waits = ok; ok {
			g.waiting++
		}
	}
	changed := e.stateChanged
	e.mu.Unlock()
	if !ok {
		return false
	}
	timer := time.NewTimer(gapPoll)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
	return true
}

// leaveLine records that the statement no longer waits for a primary.
func (a *attempts) leaveLine() {
	if !a.waits {
		return
	}
	a.waits = false
	e := a.session.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.gap(clock.Now(), a.route.Service)
	g.waiting--
	g.line.Leave()
}

// slots returns the smallest number of slots of a service's servers, any of which may be the next
// primary.
func slots(servers []plan.Server) int {
	least := 0
	for _, s := range servers {
		if least == 0 || s.Slots < least {
			least = s.Slots
		}
	}
	return least
}

// recordWork records about how long a statement used a slot of a primary: the time until its answer,
// less the wait that the server reported with it.
func (e *Entry) recordWork(service model.ServiceID, sent time.Time, wait time.Duration) {
	now := clock.Now()
	took := now.Sub(sent) - wait
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gap(now, service).line.Measure(max(took, 0))
}
