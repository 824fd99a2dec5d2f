package entry

import (
	"fmt"
	"log/slog"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/pick"
	"pomelofork/core/plan"
	"pomelofork/core/quota"
	"pomelofork/core/stmt"
	"pomelofork/core/trial"
	"pomelofork/io/clock"
	"pomelofork/io/logs"
)

const (
	// holdDivisor is the divisor of a route's target latency that gives how long an
	// operation waits for a token, and a statement for a server, when there is none at the
	// moment.
	holdDivisor = 4
	// serverRetryPause is the pause before a server is looked for again.
	serverRetryPause = 5 * time.Millisecond
	// maxAttempts bounds the attempts of one statement, over all servers.
	maxAttempts = 6
	// ageMargin is subtracted from the age that a route accepts, because a caller counts
	// the age from its own end of the connection and this instance from the other.
	ageMargin = 50 * time.Millisecond
	// drainingGrace is the time for which a draining primary still gets writes.
	drainingGrace = 5 * time.Second
	// noServerRetryAfter is the time after which a caller is told to retry when no server
	// can take its statement, for example because there is no primary: about the time of a
	// promotion.
	noServerRetryAfter = 300 * time.Millisecond
	// smoothingFactor is the weight of a new result in the moving averages of a server.
	// About the last ten results count.
	smoothingFactor = 0.1
	// suspectDuration is the time for which other servers are preferred to one that lost
	// an answer. If that server is running, a connection to it is opened again within this
	// time.
	suspectDuration = time.Second
	// laggingMemory is the time for which a server that lacked the point of a read counts as lagging.
	laggingMemory = 2 * time.Second
)

// admission is what an operation was admitted with.
type admission struct {
	route plan.Route
	// account is empty for a caller without a known key.
	account model.AccountID
	// token is the token of the account's rate that pays for the operation.
	token quota.Token
}

// attempts makes the attempts of one statement.
type attempts struct {
	session *session
	admission
	// received is when the statement was received.
	received time.Time
	order    stmt.Order
	// primary is true if only the primary may run the statement.
	primary bool
	// allowsStale is true for a read whose route accepts data of some age.
	allowsStale bool
	// failed is true once an attempt ran and failed.
	failed bool
	// sent is true once an attempt may have reached a server.
	sent bool
	// waits is true while the statement waits for the next primary of its service.
	waits bool
	// retryAfter is the time after which to retry if it may not wait for that, or zero.
	retryAfter time.Duration
	// passedOver is the earliest end of the times until which cold servers take no read, if there is
	// no other server. Otherwise it is zero.
	passedOver time.Time
	// queueRefusal is the refusal of a server that callers compete for, or nil.
	queueRefusal *stmt.Result
	// excluded are the servers that have been tried. It is cleared when no server is left.
	excluded map[model.ServerID]bool
	// picked and outlook are what counts of the statement for the choice of the next server, and what
	// was found of the servers, if callers compete for capacity.
	picked  pick.Statement
	outlook pick.Outlook
}

// begin opens a transaction. It reaches a server with its first statement that needs
// one.
func (s *session) begin(now time.Time, statement stmt.Statement) stmt.Answer {
	admitted, refusal := s.admitOperation(now, statement)
	if refusal != nil {
		return *refusal
	}
	begin := stmt.OpBegin
	if statement.Kind == stmt.KindBeginRead && admitted.route.Freshness != plan.FreshLatest {
		begin = stmt.OpBeginRead
	}
	s.tx = &transaction{unit: s.entry.lastUnit.Add(1), admission: admitted, begin: begin, begunAt: now}
	return stmt.Answer{State: stmt.StateOpen}
}

// admitOperation admits a new statement or transaction and takes a token of its account.
// It returns the answer to the caller if that is refused.
func (s *session) admitOperation(now time.Time, statement stmt.Statement) (admission, *stmt.Answer) {
	route, account, refusal := s.admit(now)
	var token quota.Token
	if refusal == nil && account != "" {
		var reason string
		var ok bool
		if token, reason, ok = s.entry.drawToken(now, account, s.entry.stopping().Limit(now.Add(s.entry.maxTokenWait(route)))); !ok {
			answer := stmt.Refuse(stmt.CodeBusy, stmt.StateIdle, reason)
			refusal = &answer
		}
	}
	if refusal != nil {
		s.entry.config.Meter.Statement(route.Name, refusal.Code, clock.Now().Sub(now))
		version, age := s.configStatus(now)
		s.log(slog.LevelInfo, "operation refused", slog.String("request", logs.Shortened(statement.ID)), slog.String("database", logs.Shortened(s.opening.Database)),
			slog.String("account", string(account)), slog.String("code", refusal.Code.String()), slog.String("reason", refusal.Text),
			slog.Uint64("config_version", version), slog.Duration("config_age", age))
	}
	return admission{route: route, account: account, token: token}, refusal
}

// maxTokenWait returns the time for which an operation waits for a token.
func (e *Entry) maxTokenWait(route plan.Route) time.Duration {
	if e.config.Disabled.Has(trial.TokenWait) {
		return 0
	}
	return min(route.TargetLatency/holdDivisor, quota.MaxWait(e.priority(route)))
}

// priority returns the priority of a route.
func (e *Entry) priority(route plan.Route) int {
	if e.config.Disabled.Has(trial.Priority) {
		return 0
	}
	return route.Priority
}

// configStatus returns the version of the configuration in force, or zero without one,
// and the time since it was last confirmed to be the newest.
func (s *session) configStatus(now time.Time) (uint64, time.Duration) {
	version := uint64(0)
	if p := s.entry.config.View.State().Plan; p != nil {
		version = p.Version()
	}
	fresh, _ := s.entry.config.View.FreshAsOf()
	return version, now.Sub(fresh)
}

// withRetryAfter adds the time after which the caller may retry to a reason. It adds
// nothing if that time isn't positive.
func withRetryAfter(reason string, after time.Duration) string {
	if after <= 0 {
		return reason
	}
	return fmt.Sprintf("%s; retry in %d ms", reason, after.Milliseconds()+1)
}

// runSingle runs a statement outside a transaction.
func (s *session) runSingle(now time.Time, statement stmt.Statement) stmt.Answer {
	admitted, refusal := s.admitOperation(now, statement)
	if refusal != nil {
		return *refusal
	}
	route := admitted.route
	a := s.newAttempts(now, admitted, statement)
	a.primary = s.writes(statement)
	a.allowsStale = !a.primary && route.Freshness != plan.FreshLatest && !statement.NoPrefix
	if !a.allowsStale {
		a.primary = true
		a.order.Prove = !s.writes(statement)
	}
	result, _ := a.run()
	a.returnTokenIfNotSent()
	answer := result.Answer
	answer.State = stmt.StateIdle
	switch {
	case answer.Code != stmt.CodeDone:
	case s.writes(statement):
		s.recordCommit(clock.Now(), route.Service, answer.Point)
	case a.order.Prove:
		s.learnOwn(route.Service, answer.Point)
	}
	noAnswer := !result.NotSent && (answer.Code == stmt.CodeTimeout || answer.Code == stmt.CodeTooLarge)
	if s.writes(statement) && (answer.Code == stmt.CodeConnectionLost || noAnswer) {
		answer = stmt.Refuse(stmt.CodeInDoubt, stmt.StateIdle, "the write may have taken effect")
	} else if answer.Code == stmt.CodeConnectionLost {
		answer = stmt.Refuse(stmt.CodeAborted, stmt.StateIdle, "the read got no answer")
	}
	s.report(now, admitted, &a.order, result, answer)
	return answer
}

// report logs and counts the answer to a statement.
func (s *session) report(now time.Time, admitted admission, order *stmt.Order, result stmt.Result, answer stmt.Answer) {
	statement := order.Statement
	done := clock.Now()
	took := done.Sub(now)
	if answer.Code == stmt.CodeDone {
		s.entry.mu.Lock()
		s.entry.usual.ObserveStatement(admitted.route.Name, took)
		s.entry.mu.Unlock()
	}
	s.entry.config.Meter.Statement(admitted.route.Name, answer.Code, took)
	version, age := s.configStatus(done)
	s.log(slog.LevelInfo, "statement answered", slog.String("request", logs.Shortened(statement.ID)), slog.String("route", admitted.route.Name), slog.String("account", string(admitted.account)),
		slog.String("kind", statement.Kind.String()), slog.String("server", string(order.Server)), slog.String("code", answer.Code.String()),
		slog.String("reason", logs.Shortened(answer.Text)), slog.Bool("not_sent", result.NotSent), slog.Duration("took", took),
		slog.Bool("late", took > admitted.route.TargetLatency), slog.Duration("server_wait", result.Wait),
		slog.Uint64("unit", order.Unit), slog.String("after", order.After.String()), slog.Bool("proved", order.Prove),
		slog.String("point", answer.Point.String()), slog.Uint64("config_version", version), slog.Duration("config_age", age))
}

// deadline returns when the statement has to be answered.
func (a *attempts) deadline() time.Time {
	return a.session.entry.stopping().Limit(a.received.Add(a.route.Timeout))
}

func (s *session) newAttempts(now time.Time, admitted admission, statement stmt.Statement) *attempts {
	a := &attempts{session: s, admission: admitted, received: now, excluded: map[model.ServerID]bool{}}
	a.order = stmt.Order{
		Entry: s.entry.config.RunID, Begin: stmt.OpPass, Account: admitted.account, Class: admitted.route.Name, Priority: s.entry.priority(admitted.route),
		Values: s.values, Statement: statement, Homes: s.homes(admitted),
	}
	if statement.Kind == stmt.KindExecute {
		a.order.Prepared = s.prepared[statement.Name]
	}
	return a
}
