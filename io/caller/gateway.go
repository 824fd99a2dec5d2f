package caller

import (
	"context"
	"time"

	"pomelofork/core/model"
	"pomelofork/io/wire"
)

const (
	// gatewayRetryInterval is the time between two rounds of tries at the gateways of a
	// service.
	gatewayRetryInterval = 10 * time.Millisecond
	// maxGatewayWait bounds how long a unit waits for a gateway, or for an instance that
	// issues its account's tokens. A planned hand-over of a right completes within this
	// time, and usually also the takeover of the rights of an instance that failed.
	maxGatewayWait = 5 * time.Second
)

// startUnit tries the gateways of the unit's service until one has run the first batch,
// until an error after which the unit must not be tried again, or until a longer wait
// would not help. While rights are transferred between instances, a service may have no
// usable gateway for a moment. A unit that waits for the next gateway saves its caller a
// refusal.
func (s *session) startUnit(ctx context.Context, unit wire.Unit, forwarded wire.Batch, out *sink) (wire.Result, error) {
	var lastErr error = model.NewRefusal(model.RefusalConfig{Reason: model.ReasonNoGateway, Outcome: model.OutcomeNotRun, RetryAfter: retryDelay})
	waitTimer := time.NewTimer(maxGatewayWait)
	defer waitTimer.Stop()
	for {
		allTransient := true
		for _, gateway := range s.server.loads.sortByLoad(s.server.config.Directory.Gateways(unit.Service)) {
			result, err := s.tryGateway(ctx, gateway, unit, forwarded, out)
			if err == nil {
				return result, nil
			}
			lastErr = err
			refusal := asRefusal(err)
			if out.shown > 0 || !mayRunElsewhere(unit, refusal) {
				return wire.Result{}, err
			}
			allTransient = allTransient && isTransient(refusal)
		}
		if !allTransient {
			return wire.Result{}, lastErr
		}
		select {
		case <-ctx.Done():
			return wire.Result{}, lastErr
		case <-waitTimer.C:
			return wire.Result{}, lastErr
		case <-time.After(gatewayRetryInterval):
		}
	}
}

// tryGateway runs the first batch of a unit at one gateway. If it succeeds, the session
// keeps the stream for the further batches of the unit.
func (s *session) tryGateway(ctx context.Context, gateway wire.Gateway, unit wire.Unit, forwarded wire.Batch, out *sink) (wire.Result, error) {
	deadline, _ := ctx.Deadline()
	unit.Remaining = deadline.Sub(s.now())
	release := s.server.loads.add(gateway)
	stream, err := gateway.Open(ctx, unit)
	if err != nil {
		release()
		return wire.Result{}, err
	}
	result, err := stream.Run(ctx, forwarded, out)
	if err != nil {
		stream.Close()
		release()
		return wire.Result{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stream, s.release = stream, release
	return result, nil
}

// mayRunElsewhere reports whether the unit may be tried at another gateway after a refusal.
// If the outcome is unknown, that holds for reads and idempotent requests, which may run
// twice, and for requests with an ID, which a gateway looks up before it repeats them. If
// the unit did not run, it holds for causes that another gateway may not have.
func mayRunElsewhere(unit wire.Unit, refusal *model.Refusal) bool {
	if refusal.Outcome() == model.OutcomeUnknown {
		return unit.Idempotent || unit.RequestID != "" || unit.Access == model.AccessRead
	}
	switch refusal.Reason() {
	case model.ReasonNoGateway, model.ReasonShuttingDown, model.ReasonConnectionLost, model.ReasonNoPrimary:
		return true
	}
	return false
}

// isTransient reports whether the cause of a refusal is likely to end while the unit waits.
// A gateway without a primary has already waited for one itself, or expects none in time,
// so waiting here would not help.
func isTransient(refusal *model.Refusal) bool {
	return refusal.Reason() != model.ReasonNoPrimary
}
