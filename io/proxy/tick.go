package proxy

import (
	"context"
	"maps"
	"slices"
	"time"

	"pomelofork/io/clock"
	"pomelofork/io/pooler"
)

// every calls do at the given interval until the context ends.
func every(ctx context.Context, interval time.Duration, do func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do(clock.Now())
		}
	}
}

// openPools returns the connection pools of this instance.
func (n *Node) openPools() []*pooler.Pool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Values(n.pools))
}

// tickPools lets each connection pool do its periodic work. A pool is told whether this
// instance is the one that should hold its server's connections.
func (n *Node) tickPools(now time.Time) {
	n.endorseInUse(now)
	n.updateClaims(now)
	n.confirmStarts(now)
	n.outages.tick(now)
	for _, pool := range n.openPools() {
		n.outages.watchPool(now, pool)
		order := n.holders(pool.Server())
		pool.Tick(now, len(order) == 0 || order[0].ID == n.config.Self.ID)
	}
}
