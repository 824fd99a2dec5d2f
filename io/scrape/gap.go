package scrape

// gapTotal sums up the time in which writes to one service were waiting and none was
// acknowledged. Every instance measures the same gap in its own writes, so only the
// largest increase of a round is added.
type gapTotal struct {
	// last holds the counter of each instance at its last update, in milliseconds.
	last map[string]float64
	// roundMax is the largest increase of the current round, in milliseconds.
	roundMax float64
	// total is the sum over all completed rounds, in milliseconds.
	total float64
}

func newGapTotal() *gapTotal { return &gapTotal{last: map[string]float64{}} }

// update records the current counter of one instance, in milliseconds. A counter that
// has decreased belongs to a restarted process and counts from zero.
func (g *gapTotal) update(instance string, current float64) {
	previous := g.last[instance]
	if current < previous {
		previous = 0
	}
	g.roundMax = max(g.roundMax, current-previous)
	g.last[instance] = current
}

// closeRound ends the current round and returns the total in milliseconds.
func (g *gapTotal) closeRound() float64 {
	g.total += g.roundMax
	g.roundMax = 0
	return g.total
}
