package eta

import (
	"maps"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/stmt"
)

const (
	// reportLife is the age from which a report of a gateway counts as none. The queues of servers
	// that serve hundreds of statements a second have changed by then.
	reportLife = 200 * time.Millisecond
	// tripFadeTime is the time over which a long round trip fades to the assumed one, and the time for
	// which reads stood behind own work to zero, so that a server that was slow is tried again.
	tripFadeTime = 2 * time.Second
	// FarTrip is the round trip that is assumed to a server of another failure domain until it has
	// been observed: some round trips of about two milliseconds each.
	FarTrip = 12 * time.Millisecond
	// tripLeak is the part of a round trip that each observation moves to the work. Only their sum is
	// observed, so that without it noise would move all work to the round trips.
	tripLeak = 0.01
	// maxReport is the longest wait that a report may state. No statement has so long a timeout.
	maxReport = time.Minute
	// maxClosures is the number of accounts per server from which expired closures are dropped.
	maxClosures = 64
	// priorities is the number of priorities that are told apart. Lower ones count as the lowest.
	priorities = 4
)

// closure says until when the statements of a priority are refused at a server, and when the last caller
// that was refused was told to return.
type closure struct{ until, returnAt time.Time }

// closures are those of each priority.
type closures [priorities]closure

// server is what is known of one server.
type server struct {
	trip   time.Duration
	tripAt time.Time
	// aside is the time for which reads lately stood behind the own work of this primary, as of asideAt.
	aside   time.Duration
	asideAt time.Time
	// waits are those of the last report, as of reportAt.
	waits    []stmt.PriorityWait
	reportAt time.Time
	// plain says that the last report doesn't tell priorities apart. Urgent statements may wait less.
	plain bool
	// inFlight is the work of this instance's statements that have no result yet, and sinceReport
	// that of those that were sent after the report.
	inFlight, sinceReport time.Duration
	// closed is by account, since accounts have shares of a server.
	closed map[model.AccountID]closures
}

// Book holds what is known of all servers and routes. It isn't safe for concurrent use.
type Book struct {
	routes  map[string]*work
	servers map[model.ServerID]*server
}

// NewBook returns a book that knows nothing.
func NewBook() *Book {
	return &Book{routes: map[string]*work{}, servers: map[model.ServerID]*server{}}
}

// Query asks for an estimate.
type Query struct {
	Server model.ServerID
	// Slots is the number of statements that the server runs at the same time.
	Slots int
	// Route, Priority and Account are those of the statement.
	Route    string
	Priority int
	Account  model.AccountID
	// Beside says that the server is the primary and that another server could run the statement.
	Beside bool
	// Far says that the server is in another failure domain.
	Far bool
}

// Estimate returns the estimate.
func (b *Book) Estimate(now time.Time, q Query) Estimate {
	var e Estimate
	e.Work, e.High = b.routes[q.Route].estimates()
	s, ok := b.servers[q.Server]
	if !ok {
		e.Trip = assumedTrip(q.Far)
		return e
	}
	e.Trip = s.tripTo(now, q.Far)
	slots := time.Duration(max(q.Slots, 1))
	e.Wait = s.inFlight / slots
	if age := now.Sub(s.reportAt); age < reportLife && len(s.waits) > 0 {
		e.Known = !s.plain
		e.Reported = max(waitOf(s.waits, q.Priority)-age, 0)
		e.Wait = max(e.Wait, e.Reported+s.sinceReport/slots)
	}
	if q.Beside {
		e.Wait += s.asideTime(now)
	}
	closed := s.closed[q.Account][index(q.Priority)]
	e.ClosedUntil, e.ReturnAt = closed.until, closed.returnAt
	return e
}

// Sent is a statement that was sent to a server.
type Sent struct {
	query Query
	at    time.Time
	// work is what the statement adds to the work in flight, wait the reported wait and trip the
	// round trip as of at.
	work, wait, trip time.Duration
}

// Send records that a statement is sent. Each one must be passed to Answer.
func (b *Book) Send(now time.Time, q Query) Sent {
	e := b.Estimate(now, q)
	s := b.server(q.Server)
	s.inFlight += e.Work
	s.sinceReport += e.Work
	return Sent{query: q, at: now, work: e.Work, wait: e.Reported, trip: e.Trip}
}

// Answer records the result of a statement. It returns false if the result's report is invalid. The
// report then counts as none.
func (b *Book) Answer(now time.Time, sent Sent, result *stmt.Result) bool {
	s := b.server(sent.query.Server)
	s.inFlight = max(s.inFlight-sent.work, 0)
	if result.Answer.Code == stmt.CodeDone {
		b.observeTime(now, s, sent)
	}
	// A read that a primary refuses goes behind the work that only it can run, so that its refusal says nothing
	// of that work, and little of other reads: their place depends on what is left of their time.
	if result.NotSent && result.Answer.Code == stmt.CodeBusy && result.RetryAfter > 0 && !sent.query.Beside {
		s.close(now, sent.query, result)
	}
	waits, valid := report(result)
	plain := len(result.Waits) == 0
	// A gateway that tells priorities apart leaves them out of some results. Those say less than its
	// former report.
	if len(waits) > 0 && (!plain || s.plain || now.Sub(s.reportAt) >= reportLife) {
		s.waits, s.reportAt, s.sinceReport, s.plain = waits, now, 0, plain
	}
	return valid
}

// observeTime updates the work of the route and the round trip to the server.
func (b *Book) observeTime(now time.Time, s *server, sent Sent) {
	w, ok := b.routes[sent.query.Route]
	if !ok {
		w = &work{}
		b.routes[sent.query.Route] = w
	}
	served := max(now.Sub(sent.at)-sent.wait, 0)
	mean, _ := w.estimates()
	if sent.query.Beside {
		// Such a read may have stood behind own work, which says nothing of the round trip or the work.
		stood := max(served-sent.trip-mean, 0)
		s.aside, s.asideAt = s.asideTime(now)+time.Duration(weight*float64(stood-s.asideTime(now))), now
		return
	}
	if w.mean == 0 {
		mean = max(served-sent.trip, 0)
	}
	trip := s.tripTo(now, sent.query.Far)
	s.trip = max(trip+time.Duration(weight*float64(served-mean-trip)-tripLeak*float64(trip)), 0)
	s.tripAt = now
	w.observe(max(served-sent.trip, 0))
}

// server returns what is known of a server.
func (b *Book) server(id model.ServerID) *server {
	s, ok := b.servers[id]
	if !ok {
		s = &server{}
		b.servers[id] = s
	}
	return s
}

// tripTo returns the round trip to the server.
func (s *server) tripTo(now time.Time, far bool) time.Duration {
	assumed := assumedTrip(far)
	if s.tripAt.IsZero() {
		return assumed
	}
	if s.trip <= assumed {
		return s.trip
	}
	fade := max(1-now.Sub(s.tripAt).Seconds()/tripFadeTime.Seconds(), 0)
	return assumed + time.Duration(float64(s.trip-assumed)*fade)
}

// asideTime returns the time for which reads are expected to stand behind own work.
func (s *server) asideTime(now time.Time) time.Duration {
	return time.Duration(float64(s.aside) * max(1-now.Sub(s.asideAt).Seconds()/tripFadeTime.Seconds(), 0))
}

// close records that the server's gateway told a caller to return later.
func (s *server) close(now time.Time, q Query, result *stmt.Result) {
	until := now.Add(min(result.RetryAfter, reportLife))
	if len(s.closed) >= maxClosures {
		maps.DeleteFunc(s.closed, func(_ model.AccountID, c closures) bool { return !c[priorities-1].until.After(now) })
	}
	if s.closed == nil {
		s.closed = map[model.AccountID]closures{}
	}
	c := s.closed[q.Account]
	for i := index(q.Priority); i < priorities; i++ {
		if until.After(c[i].until) {
			c[i] = closure{until, now.Add(result.RetryAfter)}
		}
	}
	s.closed[q.Account] = c
}

// report returns the waits that a gateway reported with a result, or none if the result wasn't made by
// a gateway that knows them. It returns false if they are invalid.
func report(result *stmt.Result) ([]stmt.PriorityWait, bool) {
	waits := result.Waits
	if len(waits) == 0 && (result.Wait != 0 || !result.NotSent && result.Answer.Code == stmt.CodeDone) {
		waits = []stmt.PriorityWait{{Wait: result.Wait}}
	}
	for _, w := range waits {
		if w.Wait < 0 || w.Wait > maxReport || w.Priority < 0 {
			return nil, false
		}
	}
	return waits, true
}

// waitOf returns the wait of a priority, or that of the next higher one if the priority isn't
// reported: it waits at least as long.
func waitOf(waits []stmt.PriorityWait, priority int) time.Duration {
	wait := waits[0].Wait
	for _, w := range waits {
		if w.Priority <= priority {
			wait = w.Wait
		}
	}
	return wait
}

// assumedTrip returns the round trip to a server that hasn't been observed.
func assumedTrip(far bool) time.Duration {
	if far {
		return FarTrip
	}
	return 0
}

// index returns the place of a priority in closures.
func index(priority int) int { return min(max(priority, 0), priorities-1) }
