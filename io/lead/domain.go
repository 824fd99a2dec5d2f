package lead

import (
	"context"
	"errors"
	"time"

	"pomelofork/core/plan"
	"pomelofork/core/stmt"
	"pomelofork/io/pooler"
)

const (
	// lostProbeTimeout is the time that a probe of a primary gets whose failure domain counts as lost:
	// some tens of round trips. A primary that still answers this instance does so sooner.
	lostProbeTimeout = 100 * time.Millisecond
	// lostPollInterval is the pause between two checks whether the domain counts as lost, while a probe
	// is under way.
	lostPollInterval = 20 * time.Millisecond
)

// probed reports whether a server answered a probe.
func (m *Monitor) probed(server plan.Server, answered bool) {
	if m.config.Probed != nil {
		m.config.Probed(server, answered)
	}
}

// domainLost reports whether the failure domain of the last known primary has failed as a whole.
func (m *Monitor) domainLost() bool {
	return m.config.DomainLost != nil && m.config.DomainLost(m.lastPrimary.Domain)
}

// Reached reports whether a server was reached by a Probe that failed with the given error. Only a
// running server reports its limit of connections.
func Reached(err error) bool { return err == nil || errors.Is(err, pooler.ErrConnectionLimit) }

// untilLost returns a context that ends once lostProbeTimeout has passed and the failure domain of the
// last known primary counts as lost. The monitor would otherwise wait for the whole time-out of a
// probe before it decides.
func (m *Monitor) untilLost(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if m.config.DomainLost == nil {
		return ctx, cancel
	}
	domain := m.lastPrimary.Domain
	go func() {
		defer cancel()
		for pause := lostProbeTimeout; ; pause = lostPollInterval {
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
			if m.config.DomainLost(domain) {
				return
			}
		}
	}()
	return ctx, cancel
}

// probeUntil is probe, which ends early with the context.
func probeUntil(ctx context.Context, conn pooler.Conn, timeout time.Duration) (stmt.Answer, error) {
	stop := context.AfterFunc(ctx, func() {
		// If this fails, the probe ends with its own time-out.
		_ = conn.SetDeadline(time.Now())
	})
	defer stop()
	return probe(conn, timeout)
}
