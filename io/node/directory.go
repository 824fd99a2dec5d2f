package node

import (
	"context"
	"time"

	"pomelofork/core/conf"
	"pomelofork/core/model"
	"pomelofork/io/wire"
)

// noConfigRetryAfter is how long a caller should wait before it retries a request that was
// refused because the instance has no current configuration.
const noConfigRetryAfter = time.Second

// Config returns the configuration in force. It returns a refusal if there is none, or if
// it has not been confirmed as current within Config.ConfigFreshness: a key may have been
// withdrawn without this instance knowing.
func (n *Node) Config(now time.Time) (*conf.Config, *model.Refusal) {
	config := n.tracker.current()
	if config == nil {
		return nil, noConfiguration("none known yet")
	}
	if now.Sub(n.fleet.ConfigConfirmedAt()) > n.config.ConfigFreshness {
		return nil, noConfiguration("cut off from the store and from most instances")
	}
	return config, nil
}

// noConfiguration returns the refusal of a request while no current configuration is known.
func noConfiguration(detail string) *model.Refusal {
	return model.NewRefusal(model.RefusalConfig{
		Reason: model.ReasonNoConfiguration, Outcome: model.OutcomeNotRun, RetryAfter: noConfigRetryAfter, Detail: detail,
	})
}

// Take takes one token of the account's rate. It waits until the request is decided, and
// returns nil or a *model.Refusal.
func (n *Node) Take(ctx context.Context, account model.AccountID) error {
	return n.fleet.Take(ctx, account)
}

// Gateways returns the usable gateways of a service, in rank order. A gateway of another
// instance is reached over a link.
func (n *Node) Gateways(service model.ServiceID) []wire.Gateway {
	var usable []wire.Gateway
	for _, member := range n.fleet.Gateways(service) {
		if member.Instance != n.config.ID {
			usable = append(usable, n.links.client(member.LinkAddress))
			continue
		}
		if own, ok := n.gateways.lookup(service); ok {
			usable = append(usable, own)
		}
	}
	return usable
}
