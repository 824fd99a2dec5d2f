package scrape

// gapTotal sums up the gaps in writes of one service. Every instance sees the same
// gap in its own writes, so of each round the longest increase counts.
type gapTotal struct {
	last    map[string]float64
	round   float64
	running float64
}

// newGapTotal returns a total of nothing.
func newGapTotal() *gapTotal { return &gapTotal{last: map[string]float64{}} }

// update takes the present counter of one instance, in milliseconds. A counter that
// has gone back belongs to a new process.
func (g *gapTotal) update(instance string, present float64) {
	before := g.last[instance]
	if present < before {
		before = 0
	}
	g.round = max(g.round, present-before)
	g.last[instance] = present
}

// closeRound ends a round and returns the running total in milliseconds.
func (g *gapTotal) closeRound() float64 {
	g.running += g.round
	g.round = 0
	return g.running
}
