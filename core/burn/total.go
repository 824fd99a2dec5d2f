package burn

// Total sums the counters of several sources, such as the instances of a fleet, and keeps
// counting when a source restarts. A counter that is lower than before was reset to zero
// by a restart, so that its whole value is added.
type Total struct {
	last    map[string]Count
	running Count
}

// NewTotal returns a total without sources.
func NewTotal() *Total { return &Total{last: map[string]Count{}} }

// Update adds the growth of one source's counter since its previous update. The first
// update of a source adds the whole counter.
func (t *Total) Update(source string, current Count) {
	before := t.last[source]
	if current.total < before.total || current.bad < before.bad {
		before = Count{}
	}
	t.running = t.running.Plus(current.Minus(before))
	t.last[source] = current
}

// Running returns the sum over all sources.
func (t *Total) Running() Count { return t.running }
