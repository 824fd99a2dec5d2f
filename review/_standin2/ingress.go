package main

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// ingress is the platform's ingress. It asks each instance once a second whether it is ready, and takes it out
// after two misses.
type ingress struct {
	world *world
	mu    sync.Mutex
	// misses are the questions in a row without a 200.
	misses map[*instance]int
}

// newIngress starts the ingress of the instances that have been added.
func newIngress(w *world) *ingress {
	g := &ingress{world: w, misses: map[*instance]int{}}
	for _, i := range w.instances {
		go func() {
			for range time.Tick(time.Second) {
				ready := i.ready()
				g.mu.Lock()
				if ready {
					g.misses[i] = 0
				} else {
					g.misses[i]++
				}
				if n := g.misses[i]; n > 0 {
					w.note("ingress: %s isn't ready, %d in a row", i.name, n)
				}
				g.mu.Unlock()
			}
		}()
	}
	return g
}

// choose returns the instance to which a new connection of a client in a zone is forwarded, or nil.
func (g *ingress) choose(zone string) *instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	var own, ownIn, others []*instance
	for _, i := range g.world.instances {
		in := g.misses[i] < 2
		if i.zone == zone {
			own = append(own, i)
			if in {
				ownIn = append(ownIn, i)
			}
		} else if in {
			others = append(others, i)
		}
	}
	nodes := ownIn
	switch {
	case len(ownIn) == 0:
		nodes = others
	case 2*len(ownIn) < len(own):
		nodes = own
	}
	if len(nodes) == 0 {
		return nil
	}
	return slices.Clone(nodes)[rand.IntN(len(nodes))]
}
