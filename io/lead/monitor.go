package lead

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"pomelofork/core/evac"
	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/promo"
	"pomelofork/core/stmt"
	"pomelofork/core/trial"
	"pomelofork/io/clock"
	"pomelofork/io/pooler"
	"pomelofork/io/view"
)

const (
	// probeInterval is the time between two probes of a primary. While nothing is written, it
	// determines the age of the newest known point, which has to be far below the maximum age
	// of reads.
	probeInterval = 250 * time.Millisecond
	// probeTimeout is the time-out of one probe, and of opening its connection.
	probeTimeout = 450 * time.Millisecond
	// statusTimeout is the time-out of a command to a replica, of opening its connection, and of
	// the command that makes the primary step down.
	statusTimeout = 300 * time.Millisecond
	// catchUpTimeout is the time that replicas get to receive the rest of the log of a primary
	// that has stepped down.
	catchUpTimeout = 800 * time.Millisecond
	// catchUpPollInterval is the pause between two status queries to the replicas meanwhile.
	catchUpPollInterval = 30 * time.Millisecond
	// promoteTimeout is the time-out of the call that promotes a server.
	promoteTimeout = time.Second
	// stepDownTries is the number of times that a primary is told to step down, the second time with the
	// term that it reports.
	stepDownTries = 2
	// retryPause is the pause after a refused promotion.
	retryPause = 300 * time.Millisecond
	// answerGrace is the time after a primary in an evacuated failure domain has stepped down for which its
	// answers may reach the gateways, before the next appointment has these close their connections: the
	// work of a usual statement. Without it, a write in flight was in doubt in 2 of 9 runs of a test.
	answerGrace = 50 * time.Millisecond
	// laggingPause is the pause after a promotion that was refused because the replicas lacked a part
	// of the log of a primary in an evacuated failure domain. Each try may write to the store.
	laggingPause = time.Second
)

// Errors of a promotion.
var (
	// ErrFenced means that the promotion was refused and does not take place: a call with a
	// higher fence has been made, or the server isn't running.
	ErrFenced = errors.New("promotion refused")
)

// Promoter promotes servers. Package platform implements it.
type Promoter interface {
	// Promote makes the server the primary of its service. It fails with ErrFenced if the call
	// was refused. After any other error the promotion may still take place.
	Promote(ctx context.Context, service model.ServiceID, server model.ServerID, fence uint64) error
}

// StatusReader decodes the replication status of servers.
type StatusReader interface {
	// Status decodes the answer to stmt.OpStatus, OpPause, OpResume or OpStepDown.
	Status(answer stmt.Answer) (stmt.Status, error)
}

// Config holds the settings and dependencies of a Monitor.
type Config struct {
	// Service is the service whose primary is monitored.
	Service model.ServiceID
	// View is the instance's view of the store's content, with the servers of the service.
	View *view.View
	// Dialer opens connections to servers.
	Dialer pooler.Dialer
	// Status decodes the servers' answers.
	Status StatusReader
	// Promoter promotes servers.
	Promoter Promoter
	// Holds reports whether this instance holds the right to monitor the service.
	Holds func(now time.Time) bool
	// Current reports whether this instance holds the right and View contains all that former holders
	// have written under it.
	Current func(now time.Time) bool
	// KeepCopies writes the servers that may hold acknowledged commits to the store, if this instance
	// still holds the right.
	KeepCopies func(ctx context.Context, copies promo.CopySet) error
	// Appoint writes to the store which server is to be used as the service's primary, or none
	// if the ID is empty. It returns the epoch of the appointment, which is higher than all
	// before. As a fencing token it keeps a promotion that is carried out late from undoing a
	// later one.
	Appoint func(ctx context.Context, server model.ServerID) (uint64, error)
	// Evacuation says when primaries in evacuated failure domains are replaced.
	Evacuation evac.Policy
	// Disabled are the mechanisms that are switched off.
	Disabled trial.Disabled
	// Allows reports whether answers of a primary that was appointed under an epoch may be used.
	Allows func(now time.Time, epoch uint64) bool
	// Gateways are the instances through which callers use the servers.
	Gateways Gateways
	// Probed is called with each server that was probed and whether it answered. It may be nil.
	Probed func(server plan.Server, answered bool)
	// DomainLost reports whether a failure domain has failed as a whole, by the evidence of instances
	// of two others. It may be nil.
	DomainLost func(model.Domain) bool
	// Observe is called with each point that the primary reports, and when that was asked for.
	Observe func(service model.ServiceID, at time.Time, point model.Point)
	// Log receives a record of each decision and of each failed call.
	Log *slog.Logger
}

// Monitor monitors the primary of one service while its instance holds the right to.
type Monitor struct {
	config Config
	// machine is nil while this instance doesn't hold the right, which it does since the time since.
	machine *promo.Machine
	since   time.Time
	// conn is the connection for probes, to connServer. It is nil while there is none.
	conn       pooler.Conn
	connServer model.ServerID
	// term is the term of the last point that the primary reported.
	term model.Term
	// lastPrimary is the server that was last known to be the primary.
	lastPrimary plan.Server
	// reported is the last point that the primary reported, reportedAt when it was asked for that, and
	// earlier the point before. steppedDown is the end of the log of the last primary that stepped down.
	reported, earlier, steppedDown logEnd
	reportedAt                     time.Time
	turn                           turn
	// laggingUntil is the time until which no promotion is tried again after one was refused because
	// the replicas lacked a part of the log.
	laggingUntil time.Time
	// waitUntil is the time until which no promotion is tried again after one could not be shown to keep
	// every acknowledged commit.
	waitUntil time.Time
	// unrecorded are the copies of the log that could not be recorded, and copiesRetryAt is the time until
	// which that isn't tried again.
	unrecorded    promo.CopySet
	copiesRetryAt time.Time
	absent        absent
	// blind says that the primary couldn't be probed for a reason of this instance.
	blind bool
}

// New returns a Monitor and runs it until the context ends.
func New(ctx context.Context, c Config) *Monitor {
	m := &Monitor{config: c}
	go func() {
		defer m.closeConn()
		ticker := time.NewTicker(probeInterval)
		defer ticker.Stop()
		for {
			// The first check is made at once: after a loss of all instances, nobody knows a point of the
			// service until then, and all of its reads go to the primary.
			m.run(ctx, clock.Now())
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
	return m
}

// run makes one check if this instance holds the right to.
func (m *Monitor) run(ctx context.Context, now time.Time) {
	if !m.config.Holds(now) {
		m.closeConn()
		m.absent.forget()
		m.machine = nil
		return
	}
	if m.machine == nil {
		vacancy := m.config.View.State().Vacancies[m.config.Service]
		if m.config.Disabled.Has(trial.VacancyTakeover) {
			vacancy = view.Vacancy{}
		}
		m.machine, m.since = promo.New(now, vacancy.Since, vacancy.Former), now
	}
	m.check(ctx, now)
}

// servers returns the known servers of the service.
func (m *Monitor) servers() []plan.Server {
	return m.config.View.State().Services[m.config.Service]
}

// check probes the primary, and replaces it if the machine decides that.
func (m *Monitor) check(ctx context.Context, now time.Time) {
	servers := m.servers()
	if len(servers) == 0 {
		return
	}
	ended := m.endedCopies(ctx, now)
	m.blind = false
	if primary, ok := m.machine.Primary(now, servers); ok {
		m.lastPrimary = primary
		handOverAt := m.takeTurn(now, primary)
		m.machine.HandOverAt(handOverAt)
		if sealed := m.sealed(now, primary); sealed && now.Before(handOverAt) {
			return
		} else if !sealed {
			m.confirm(ctx, now, primary)
		}
	}
	m.updateCopies(ctx, now, servers, ended)
	m.machine.DomainLost(m.lastPrimary.ID, m.domainLost())
	decision := m.machine.Decide(clock.Now(), servers)
	former, evacuated := evacuatedFormer(decision, servers)
	if m.blind || decision.Action == promo.ActionNone || (evacuated && now.Before(m.laggingUntil)) || now.Before(m.waitUntil) {
		return
	}
	m.config.Log.LogAttrs(ctx, slog.LevelWarn, "service needs another primary", slog.String("service", string(m.config.Service)),
		slog.String("primary", string(decision.Primary)), slog.String("reason", decision.Reason), slog.Duration("for", now.Sub(decision.Since)))
	if m.mustWait(ctx, now) {
		return
	}
	var end model.Point
	if decision.Action == promo.ActionHandOver && !m.sealed(clock.Now(), former) {
		if !m.hasSuccessor(ctx, now, decision.Primary, servers) {
			return
		}
		if end = m.stepDown(ctx, decision.Primary); evacuated && !end.IsZero() {
			time.Sleep(answerGrace)
		}
	}
	if end.IsZero() && !m.withdraw(ctx, decision, servers) {
		return
	}
	m.promoteBest(ctx, m.newPromotion(decision, servers, end))
}

// confirm probes the primary, and asks its gateways if the last confirmation is old.
func (m *Monitor) confirm(ctx context.Context, now time.Time, primary plan.Server) {
	confirmed := m.askIfDoubtful(ctx, now, primary)
	probeCtx, cancel := m.untilLost(ctx)
	m.probePrimary(probeCtx, now, primary)
	cancel()
	if at := <-confirmed; !at.IsZero() {
		m.machine.PrimaryConfirmed(at, primary.ID)
	}
}

// closeConn closes the connection for probes, if there is one.
func (m *Monitor) closeConn() {
	if m.conn != nil {
		// An error doesn't matter, since the connection is not used again.
		_ = m.conn.Close()
		m.conn = nil
	}
}

// dial opens a connection to a server that is charged to no client account.
func (m *Monitor) dial(ctx context.Context, server plan.Server, timeout time.Duration) (pooler.Conn, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return m.config.Dialer.Dial(callCtx, server, "")
}
