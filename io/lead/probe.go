package lead

import (
	"context"
	"errors"
	"log/slog"
	"syscall"
	"time"

	"pomelofork/core/plan"
	"pomelofork/core/stmt"
	"pomelofork/io/clock"
	"pomelofork/io/pooler"
	"pomelofork/io/sock"
)

// Probe opens a connection to a server, begins and rolls back a transaction, and returns the
// answer to the former. Only a primary answers with success.
func Probe(ctx context.Context, dialer pooler.Dialer, server plan.Server, timeout time.Duration) (stmt.Answer, error) {
	conn, err := dialer.Dial(ctx, server, "")
	if err != nil {
		return stmt.Answer{}, err
	}
	// An error doesn't matter, since the connection is not used again.
	defer func() { _ = conn.Close() }()
	return probe(conn, timeout)
}

// probe begins and rolls back a transaction and returns the answer to the former.
func probe(conn pooler.Conn, timeout time.Duration) (stmt.Answer, error) {
	answers, err := exchange(conn, timeout, stmt.Command{Op: stmt.OpBegin}, stmt.Command{Op: stmt.OpRollback})
	if err != nil {
		return stmt.Answer{}, err
	}
	return answers[0], nil
}

// exchange sends commands and returns their answers, or an error if not all of them arrive
// within the time-out.
func exchange(conn pooler.Conn, timeout time.Duration, commands ...stmt.Command) ([]stmt.Answer, error) {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	if err := conn.Send(commands); err != nil {
		return nil, err
	}
	answers := make([]stmt.Answer, 0, len(commands))
	for range commands {
		answer, err := conn.Receive()
		if err != nil {
			return nil, err
		}
		answers = append(answers, answer)
	}
	return answers, nil
}

// probePrimary begins and rolls back a transaction, which only the primary accepts, and records
// the outcome.
func (m *Monitor) probePrimary(ctx context.Context, now time.Time, primary plan.Server) {
	if m.conn == nil || m.connServer != primary.ID {
		m.closeConn()
		conn, err := m.dial(ctx, primary, probeTimeout)
		if sock.Exhausted(err) {
			m.blind = true
			m.config.Log.LogAttrs(ctx, slog.LevelWarn, "cannot probe the primary, nothing is decided about it meanwhile", slog.String("server", string(primary.ID)), slog.String("error", err.Error()))
			return
		}
		if err != nil {
			switch {
			case errors.Is(err, syscall.ECONNREFUSED):
				m.machine.ConnectionRefused(now, primary.ID)
			case errors.Is(err, pooler.ErrConnectionLimit):
				// Only a running server reports its limit. The connections of instances that
				// have lost power still count towards it.
				m.machine.PrimaryConfirmed(now, primary.ID)
			}
			m.probed(primary, Reached(err))
			m.config.Log.LogAttrs(ctx, slog.LevelInfo, "primary not reached", slog.String("server", string(primary.ID)), slog.String("error", err.Error()))
			return
		}
		m.conn, m.connServer = conn, primary.ID
	}
	sent := clock.Now()
	begin, err := probeUntil(ctx, m.conn, probeTimeout)
	m.probed(primary, err == nil)
	if err != nil {
		m.config.Log.LogAttrs(ctx, slog.LevelInfo, "primary did not answer a probe", slog.String("server", string(primary.ID)), slog.String("error", err.Error()))
		m.closeConn()
		return
	}
	if begin.Code == stmt.CodeDone && m.config.Allows(clock.Now(), primary.Epoch) {
		m.machine.PrimaryConfirmed(sent, primary.ID)
		if !begin.Point.IsZero() {
			m.term = begin.Point.Term()
			m.earlier, m.reported, m.reportedAt = m.reported, logEnd{primary.ID, begin.Point}, sent
			m.config.Observe(m.config.Service, sent, begin.Point)
		}
	}
}
