package caller

import (
	"sync"

	"pomelofork/io/wire"
)

// gatewayLoads counts the units in flight at each gateway. It is safe for concurrent use.
type gatewayLoads struct {
	mu     sync.Mutex
	counts map[wire.Gateway]int
	// rotation is the number of sorts so far. It selects which gateway comes first among
	// equally loaded ones.
	rotation int
}

// sortByLoad returns the gateways sorted by units in flight. Equally loaded gateways take
// turns at coming first, so that the units of a service with little load are also spread
// over all of its gateways.
func (l *gatewayLoads) sortByLoad(gateways []wire.Gateway) []wire.Gateway {
	if len(gateways) < 2 {
		return gateways
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotation++
	sorted := make([]wire.Gateway, 0, len(gateways))
	for i := range gateways {
		sorted = append(sorted, gateways[(i+l.rotation)%len(gateways)])
	}
	for i := 1; i < len(sorted); i++ {
		for j := i; j > 0 && l.counts[sorted[j]] < l.counts[sorted[j-1]]; j-- {
			sorted[j], sorted[j-1] = sorted[j-1], sorted[j]
		}
	}
	return sorted
}

// add counts a unit at a gateway until the returned function is called.
func (l *gatewayLoads) add(g wire.Gateway) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = map[wire.Gateway]int{}
	}
	l.counts[g]++
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.counts[g]--; l.counts[g] == 0 {
			delete(l.counts, g)
		}
	})
}
