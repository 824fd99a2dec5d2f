package proxy

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"pomelofork/core/plan"
	"pomelofork/core/trial"
	"pomelofork/io/clock"
	"pomelofork/io/relay"
	"pomelofork/io/view"
)

// takeBucketsTimeout bounds the question for the buckets of a former holder: some tens of round trips.
const takeBucketsTimeout = 150 * time.Millisecond

// recordHolders records which other instances hold the rights to issue tokens. The caller holds the
// lock.
func (n *Node) recordHolders(s *view.State) {
	for name, right := range s.Rights {
		if strings.HasPrefix(name, issuerRightPrefix) && right.Instance != n.config.Self.ID {
			n.lastHolders[name] = right.Instance
		}
	}
}

// takeBuckets asks the former holders of the rights to issue tokens that this instance has begun to
// hold for what is left in their buckets. They have stopped issuing tokens.
func (n *Node) takeBuckets(held []string) {
	state := n.view.State()
	n.mu.Lock()
	defer n.mu.Unlock()
	for name := range n.issuing {
		if !slices.Contains(held, name) {
			delete(n.issuing, name)
		}
	}
	for _, name := range held {
		if !strings.HasPrefix(name, issuerRightPrefix) || n.issuing[name] {
			continue
		}
		n.issuing[name] = true
		former, ok := state.Instances[n.lastHolders[name]]
		delete(n.lastHolders, name)
		if ok && !n.config.Disabled.Has(trial.BucketTransfer) {
			go func() { n.takeBucketsFrom(clock.Now(), former, name) }()
		}
	}
}

// takeBucketsFrom asks the former holder of a right for its buckets.
func (n *Node) takeBucketsFrom(now time.Time, former plan.Instance, name string) {
	response, err := n.peer(former).TakeBuckets(now, &relay.TakeBucketsRequest{Right: name}, takeBucketsTimeout)
	if err != nil {
		n.config.Log.Info("former holder did not hand over its token buckets, they start empty", slog.String("right", name), slog.String("instance", string(former.ID)), slog.String("error", err.Error()))
		return
	}
	n.addTokens(clock.Now(), name, response.Levels)
}

// addTokens adds what was left in the buckets of a right's former holder.
func (n *Node) addTokens(now time.Time, name string, levels []relay.BucketLevel) {
	p := n.view.State().Plan
	since, _, ok := n.rights.Holds(now, name)
	if !ok || p == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	total := 0
	for _, level := range levels {
		limits, ok := p.Account(level.Account)
		if !ok {
			continue
		}
		for issuer := range n.issuerCount(limits) {
			if accountIssuerRight(limits.ID, issuer) == name {
				n.issuerBucket(now, limits, issuer, since).Add(now, level.Tokens)
				total += level.Tokens
			}
		}
	}
	if total > 0 {
		n.config.Log.Info("token buckets taken over", slog.String("right", name), slog.Int("accounts", len(levels)), slog.Int("tokens", total))
	}
}

// TakeBuckets implements relay.Handler. The buckets are handed over once.
func (h *handler) TakeBuckets(args *relay.TakeBucketsRequest, result *relay.TakeBucketsResponse) error {
	n := h.node
	if _, _, ok := n.rights.Holds(clock.Now(), args.Right); ok {
		// The caller's copy of the store's content is older than this instance's.
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for key, b := range maps.Clone(n.buckets) {
		if accountIssuerRight(key.account, key.issuer) != args.Right {
			continue
		}
		delete(n.buckets, key)
		if left := b.left(); left > 0 {
			result.Levels = append(result.Levels, relay.BucketLevel{Account: key.account, Tokens: left})
		}
	}
	return nil
}

// left returns the tokens that were left when the bucket was last used.
func (b *bucket) left() int { return b.quota.Level(b.usedAt) }

// issuerRightPrefix is the prefix of the names of the rights to issue tokens.
const issuerRightPrefix = "rate-"

// former returns the tokens left in this instance's bucket of an earlier time as the holder. What
// others have issued in the meantime was what had accrued since.
func (n *Node) former(key issuerKey) int {
	if b, ok := n.buckets[key]; ok && !n.config.Disabled.Has(trial.BucketTransfer) {
		return b.left()
	}
	return 0
}
