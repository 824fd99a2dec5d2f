package proxy

import (
	"time"

	"pomelofork/core/model"
	"pomelofork/io/clock"
	"pomelofork/io/relay"
)

const (
	// maxPointWait is the longest time for which a read waits until the monitor of the primary knows a point.
	// It covers opening a connection to the primary beside others and a probe. After it the read goes to the
	// primary itself.
	maxPointWait = 60 * time.Millisecond
	// pointPoll is the time between two looks whether there is one.
	pointPoll = 2 * time.Millisecond
)

// awaitPoint returns the newest known point of a service. If this instance monitors the service and knows
// none, it waits up to the given time for the first one.
func (n *Node) awaitPoint(service model.ServiceID, wait time.Duration) (time.Time, model.Point, bool) {
	deadline := clock.Now().Add(wait)
	for {
		at, point, ok := n.entry.Latest(service)
		if ok || !clock.Now().Before(deadline) {
			return at, point, ok
		}
		if _, _, holds := n.rights.Holds(clock.Now(), monitorRight(service)); !holds {
			return at, point, false
		}
		time.Sleep(pointPoll)
	}
}

// NewestPoint implements entry.Fleet. The instance that monitors the service's primary
// knows the newest point, or learns the first one soon after its start.
func (n *Node) NewestPoint(now time.Time, service model.ServiceID) (time.Time, model.Point, bool) {
	state := n.view.State()
	holder, ok := state.Rights[monitorRight(service)]
	if !ok {
		return time.Time{}, model.Point{}, false
	}
	if holder.Instance == n.config.Self.ID {
		return n.awaitPoint(service, maxPointWait)
	}
	inst, ok := state.Instances[holder.Instance]
	if !ok || !n.peer(inst).Reachable(now) {
		return time.Time{}, model.Point{}, false
	}
	response, err := n.peer(inst).AwaitPoint(now, service, maxPointWait, lookTimeout-maxPointWait)
	if err != nil {
		n.endLeaseIfRefused(inst, err)
		return time.Time{}, model.Point{}, false
	}
	return now.Add(-response.Age), response.Point, !response.Point.IsZero()
}

// Look implements relay.Handler. Without a service it only returns the age of the
// configuration.
func (h *handler) Look(args *relay.LookRequest, result *relay.LookResponse) error {
	if args.Service != "" {
		if at, point, ok := h.node.awaitPoint(args.Service, min(args.Wait, maxPointWait)); ok {
			result.Point, result.Age = point, clock.Now().Sub(at)
		}
	}
	result.ConfigAge = -1
	if at, ok := h.node.view.FreshAsOf(); ok {
		result.ConfigAge = clock.Now().Sub(at)
	}
	return nil
}
