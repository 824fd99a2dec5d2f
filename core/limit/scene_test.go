package limit_test

import (
	"slices"
	"time"

	"pomelofork/core/lease"
)

// The times without a message after which a simulated instance is suspected.
const (
	silence      = 2500 * time.Millisecond
	shortSilence = time.Second
)

// scene is a course of events that one guard is there for.
type scene func(w *world)

// randomScene plays a random script.
func randomScene(w *world) {
	w.play(func(lo, hi int) int { return lo + w.rng.IntN(hi-lo+1) }, 10)
}

// pausedScene pauses each instance in turn while the answers to its heartbeats are
// under way, for so long that others take its rights over.
func pausedScene(w *world) {
	w.run(20 * time.Second)
	for _, n := range w.slots {
		n.stallNext = 11 * time.Second
		w.run(w.now + 30*time.Second)
	}
}

// stalledScene often pauses holders in the middle of a step.
func stalledScene(w *world) {
	w.stalls = 0.01
	w.run(3 * time.Minute)
}

// slowScene lets messages take up to several seconds.
func slowScene(w *world) {
	w.loadAll(1.2)
	w.run(10 * time.Second)
	w.delay = 350 * time.Millisecond
	w.run(30 * time.Second)
	w.delay = 1500 * time.Millisecond
	w.run(60 * time.Second)
}

// rollingScene replaces all instances one after the other under load.
func rollingScene(w *world) {
	w.stalls = 0
	w.loadAll(2)
	w.run(20 * time.Second)
	for slot := range worldSize {
		w.replace(w.slots[slot])
		w.run(w.now + 5*time.Second)
	}
}

// twoRegionsScene cuts the fleet into three of seven instances with the store, and
// four without, after the fourth was still heard on both sides for a while. If the
// three could swap twice before more than half know the first swap, they would count
// the fourth out of the majority that keeps the others' authority.
func twoRegionsScene(w *world) {
	const near = 1<<0 | 1<<1 | 1<<2
	const middle = 1 << 3
	w.stalls = 0
	w.run(20 * time.Second)
	for slot := 3; slot < worldSize; slot++ {
		w.noStore[slot] = true
	}
	w.split3(near, middle)
	w.run(w.now + 1500*time.Millisecond)
	w.split(near, 2, true)
	w.run(w.now + 40*time.Second)
}

// split3 cuts two sets of instances off one another that both still reach the middle.
func (w *world) split3(side, middle int) {
	for a := range worldSize {
		for b := range worldSize {
			bits := 1<<a | 1<<b
			w.cut[a][b] = bits&middle == 0 && side>>a&1 != side>>b&1
		}
	}
}

// smallSideScene leaves two of seven instances with the store, and cuts one of them
// off the other for a while.
func smallSideScene(w *world) {
	w.stalls = 0
	w.run(20 * time.Second)
	w.split(1<<0|1<<1, 0, true)
	w.run(w.now + 6*time.Second)
	w.cut[0][1], w.cut[1][0] = true, true
	w.run(w.now + 5*time.Second)
	w.cut[0][1], w.cut[1][0] = false, false
	w.run(w.now + 20*time.Second)
}

// farSideScene cuts three of seven instances off the others and the store.
func farSideScene(w *world) {
	w.stalls = 0
	w.run(20 * time.Second)
	w.split(1<<0|1<<1|1<<2, 1, true)
	w.run(w.now + 40*time.Second)
}

// twoMovesScene cuts each instance off in turn, and lets those leave at once that get
// its rights, so that rights move on before their first holder has stopped.
func twoMovesScene(w *world) {
	w.stalls = 0
	w.run(20 * time.Second)
	for slot := range worldSize {
		w.split(1<<slot, 1, true)
		epoch := w.store.record.Epoch
		for w.store.record.Epoch == epoch && w.broken == "" {
			w.run(w.now + 10*time.Millisecond)
		}
		w.run(w.now + 50*time.Millisecond)
		for _, n := range w.slots {
			if n.slot != slot && len(n.waiting()) > 0 {
				w.replace(n)
			}
		}
		w.run(w.now + 5*time.Second)
		w.split(1<<slot, 1, false)
		w.run(w.now + 30*time.Second)
	}
}

// waiting returns the rights that an instance can't use yet.
func (n *node) waiting() []lease.Right {
	return slices.DeleteFunc(worldRights(), func(r lease.Right) bool { return !n.keeper.Waiting(n.local(), r) })
}

// breaks plays a scene with several seeds until an invariant is broken.
func breaks(s scene, m mutant, seeds uint64) string {
	for seed := range seeds {
		c := worldConfig{seed: seed, silence: silence, mutant: m, digests: m.freshDigests || seed%3 == 1}
		if seed%2 == 1 {
			c.skew = maxSkew
		}
		if seed%4 >= 2 {
			c.silence = shortSilence
		}
		w := newWorld(c)
		s(w)
		if w.broken != "" {
			return w.broken
		}
	}
	return ""
}
