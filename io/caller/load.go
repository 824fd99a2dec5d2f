package caller

import (
	"sync"

	"pomelofork/io/wire"
)

// loads counts the units in flight at each gateway.
type loads struct {
	mu     sync.Mutex
	counts map[wire.Gateway]int
	turn   int
}

// order sorts gateways by units in flight. Equal ones take turns, so that a quiet
// service still spreads over both of its gateways.
func (l *loads) order(gateways []wire.Gateway) []wire.Gateway {
	if len(gateways) < 2 {
		return gateways
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turn++
	sorted := make([]wire.Gateway, 0, len(gateways))
	for i := range gateways {
		sorted = append(sorted, gateways[(i+l.turn)%len(gateways)])
	}
	for i := 1; i < len(sorted); i++ {
		for j := i; j > 0 && l.counts[sorted[j]] < l.counts[sorted[j-1]]; j-- {
			sorted[j], sorted[j-1] = sorted[j-1], sorted[j]
		}
	}
	return sorted
}

// enter counts a unit at a gateway until the returned function is called.
func (l *loads) enter(g wire.Gateway) func() {
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
