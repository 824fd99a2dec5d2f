package entry

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"pomelofork/core/admit"
	"pomelofork/core/drain"
	"pomelofork/core/evac"
	"pomelofork/core/fresh"
	"pomelofork/core/home"
	"pomelofork/core/model"
	"pomelofork/core/pick"
	"pomelofork/core/trial"
	"pomelofork/io/clock"
	"pomelofork/io/sock"
	"pomelofork/io/view"
)

// Config holds the settings of an entry and what it depends on.
type Config struct {
	// Domain is this instance's failure domain. Servers in it are preferred for reads.
	Domain model.Domain
	// RunID identifies this incarnation of the instance, that is one run of its process,
	// among those of all instances. Orders carry it in their field Entry, so that the
	// transactions of an instance that has ended can be rolled back.
	RunID uint64
	// KeyLife is the configuration age from which callers' keys are no longer accepted.
	// Zero means no limit.
	KeyLife time.Duration
	// View gives the configuration and the servers as known from the store.
	View View
	// Fleet runs orders and issues tokens, at this instance or at others.
	Fleet Fleet
	// Codec returns the Caller that speaks the platform's protocol on a new connection.
	Codec func(net.Conn) Caller
	// Limit is the limit on the callers' sessions.
	Limit admit.Limit
	// MaxSettingsBytes bounds the session values and prepared statements of all sessions together. Zero means no
	// limit.
	MaxSettingsBytes int64
	// Evacuation says what may be sent to servers in evacuated failure domains.
	Evacuation evac.Policy
	// ColdServers says that servers which have just started are limited in what they may get.
	ColdServers bool
	// Homes tells which servers may run the statements of routes and accounts with homes.
	Homes home.Map
	// Disabled are the mechanisms that are switched off.
	Disabled trial.Disabled
	// SuspectsDomain reports whether a failure domain is suspected of having failed. Its servers are
	// chosen only if there are no others. It may be nil.
	SuspectsDomain func(model.Domain) bool
	// Contended says that callers compete for too little capacity at times. Servers are then chosen,
	// and statements refused, by estimates of the time until their answer.
	Contended bool
	// Decided is called with the reason of each decision that is taken only if Contended, and the
	// priority of the statement. Nil is allowed.
	Decided func(reason string, priority int)
	// Meter counts answers and retries.
	Meter Meter
	// Log receives one record for each decision about a request.
	Log *slog.Logger
}

// Entry accepts callers and serves their sessions. It is safe for concurrent use.
type Entry struct {
	config   Config
	lastUnit atomic.Uint64
	// placed numbers the choices of a server while a failure domain is being evacuated.
	placed atomic.Uint64
	// points are the questions for newest points that reads wait for, by service.
	points singleflight.Group
	// settings is what the settings of all sessions may take.
	settings budget
	// full says that the last new session exceeded the limit.
	full atomic.Bool
	// schedule is that of the planned stop, or nil. stopRefused and stopNotified are its counts.
	schedule                  atomic.Pointer[drain.Stop]
	stopRefused, stopNotified atomic.Int64

	mu       sync.Mutex
	sessions map[*session]struct{}
	remembered
	// vacancies are those of the last state. stateChanged is closed and replaced with each state.
	vacancies    map[model.ServiceID]view.Vacancy
	stateChanged chan struct{}
	closing      bool
	// accepting is the listener for callers, or nil before Serve.
	accepting *sock.Persistent
	// isolated is the last value given to SetIsolated.
	isolated bool
	// picker is nil unless callers compete for capacity.
	picker *pick.Picker
	// usual is how long the work of each route usually takes.
	usual drain.Usual
}

// serverStats is what the entry has learned about one server from its results.
type serverStats struct {
	// point is the newest log point that the server is known to have held at pointAt.
	point   model.Point
	pointAt time.Time
	// wait is the time that a statement last waited there for a slot, as of waitAt.
	wait   time.Duration
	waitAt time.Time
	// laggingUntil is the time until which the server counts as lagging.
	laggingUntil time.Time
	// openingShare is what its gateway last reported of the slot time that openings take, if
	// openingReported is set.
	openingShare    float64
	openingReported bool
	// inFlight is the number of orders that this entry sent there and that have no result
	// yet.
	inFlight int
	// latency is the moving average of the time that reads took there, as of latencyAt.
	// failureRate is that of the part of statements that failed, from 0 to 1.
	latency     time.Duration
	latencyAt   time.Time
	failureRate float64
	// suspectUntil is the time until which other servers are preferred, because an answer
	// of this one was lost.
	suspectUntil time.Time
	// passedOverUntil is the time until which the server, which is cold, takes no read.
	passedOverUntil time.Time
}

// New returns an entry that serves no callers yet.
func New(c Config) *Entry {
	return &Entry{
		config: c, sessions: map[*session]struct{}{}, remembered: newRemembered(), stateChanged: make(chan struct{}),
		picker: newPicker(c), settings: budget{limit: c.MaxSettingsBytes},
	}
}

// MarkUnready makes Ready report false from now on, so that no new callers are sent
// here. Those that connect anyway are still served.
func (e *Entry) MarkUnready() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closing = true
}

// SetIsolated records whether this instance is isolated, as package reach decides. Other
// instances serve the callers of an isolated one better, so it isn't ready for new
// callers, ends its idle sessions, and ends the others after their transaction.
func (e *Entry) SetIsolated(isolated bool) {
	e.mu.Lock()
	changed := e.isolated != isolated
	e.isolated = isolated
	e.mu.Unlock()
	if changed {
		e.config.Log.LogAttrs(context.Background(), slog.LevelWarn, "isolation from the store changed", slog.Bool("isolated", isolated), slog.Int("sessions", e.Sessions()))
	}
	if isolated {
		e.drainSessions()
	}
}

// Drain makes Ready report false from now on, ends the idle sessions, and lets the
// others end after their transaction.
func (e *Entry) Drain() {
	e.mu.Lock()
	e.closing = true
	e.mu.Unlock()
	e.drainSessions()
}

// drainSessions ends the idle sessions at once and the others after their transaction.
func (e *Entry) drainSessions() {
	for _, s := range e.openSessions() {
		s.drain()
	}
}

func (e *Entry) openSessions() []*session {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Keys(e.sessions))
}

// Sessions returns the number of open sessions, including those whose opening has not
// been read yet.
func (e *Entry) Sessions() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sessions)
}

// Observe records that point covers every commit of the service acknowledged before at.
func (e *Entry) Observe(service model.ServiceID, at time.Time, point model.Point) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.history(clock.Now(), service).Add(at, point)
}

// Latest returns the newest point known for the service, and the time before which every
// acknowledged commit is covered by it. It returns false if there is none.
func (e *Entry) Latest(service model.ServiceID) (time.Time, model.Point, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.history(clock.Now(), service).Newest()
}

// history returns the known points of a service. The caller holds the lock.
func (e *Entry) history(now time.Time, service model.ServiceID) *fresh.History {
	return e.histories.Get(now, service)
}

// keysUsable reports whether callers' keys may be accepted: the configuration was
// confirmed to be the newest less than KeyLife ago.
func (e *Entry) keysUsable(now time.Time) bool {
	at, ok := e.config.View.FreshAsOf()
	return ok && (e.config.KeyLife == 0 || now.Sub(at) < e.config.KeyLife)
}

// Ready reports whether new callers should be sent to this instance: it has a
// configuration, may accept keys, has room for sessions, and is neither stopping nor isolated.
func (e *Entry) Ready(now time.Time) bool {
	e.mu.Lock()
	closing := e.closing || e.isolated || e.config.Limit.Full(len(e.sessions)) || (e.accepting != nil && e.accepting.Failing(now))
	e.mu.Unlock()
	return !closing && e.keysUsable(now) && e.config.View.State().Plan != nil
}
