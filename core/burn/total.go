package burn

// Total keeps a running count over sources that restart. A source's counter that
// has gone back began again from zero, so all of it is new.
type Total struct {
	last    map[string]Count
	running Count
}

// NewTotal returns a total of nothing.
func NewTotal() *Total { return &Total{last: map[string]Count{}} }

// Update takes the present counter of one source.
func (t *Total) Update(source string, present Count) {
	before := t.last[source]
	if present.total < before.total || present.bad < before.bad {
		before = Count{}
	}
	t.running = t.running.Plus(present.Minus(before))
	t.last[source] = present
}

// Running returns the sum over all sources since the start.
func (t *Total) Running() Count { return t.running }
