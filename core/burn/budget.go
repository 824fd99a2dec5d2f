package burn

import (
	"maps"
	"slices"
	"time"
)

// Budget watches one objective. It holds one series for each part that is judged on
// its own, such as each client account; the part that burns fastest counts.
type Budget struct {
	objective Objective
	limit     int
	parts     map[string]*Series
}

// BudgetConfig holds the settings of a budget.
type BudgetConfig struct {
	// Objective is what is watched.
	Objective Objective
	// Samples is the number of samples kept of each part.
	Samples int
}

// NewBudget returns a budget without samples.
func NewBudget(c BudgetConfig) *Budget {
	return &Budget{objective: c.Objective, limit: c.Samples, parts: map[string]*Series{}}
}

// Objective returns what is watched.
func (b *Budget) Objective() Objective { return b.objective }

// Add appends the running count of one part as of now.
func (b *Budget) Add(now time.Time, part string, running Count) {
	if b.parts[part] == nil {
		b.parts[part] = NewSeries(SeriesConfig{Limit: b.limit})
	}
	b.parts[part].Add(now, running)
}

// Rate is the burn of one window.
type Rate struct {
	part  string
	count Count
	burn  float64
}

// Part returns the part that burnt fastest.
func (r Rate) Part() string { return r.part }

// Count returns what happened to that part in the window.
func (r Rate) Count() Count { return r.count }

// Burn returns the burn rate. 1 uses up the budget exactly.
func (r Rate) Burn() float64 { return r.burn }

// Burn returns the fastest burn among the parts in the window that ends now.
func (b *Budget) Burn(now time.Time, window time.Duration) Rate {
	worst := Rate{burn: -1}
	for _, part := range slices.Sorted(maps.Keys(b.parts)) {
		if rate := b.burnOf(now, window, part); rate.burn > worst.burn {
			worst = rate
		}
	}
	worst.burn = max(0, worst.burn)
	return worst
}

// burnOf returns the burn of one part.
func (b *Budget) burnOf(now time.Time, window time.Duration, part string) Rate {
	series, ok := b.parts[part]
	if !ok {
		return Rate{part: part}
	}
	count := series.Within(now, window)
	return Rate{part: part, count: count, burn: count.BadShare() / b.objective.Budget()}
}

// Span returns the times of the first and last sample over all parts, and false
// without any.
func (b *Budget) Span() (first, last time.Time, ok bool) {
	for _, series := range b.parts {
		from, to, some := series.Span()
		if !some {
			continue
		}
		if !ok || from.Before(first) {
			first = from
		}
		if !ok || to.After(last) {
			last = to
		}
		ok = true
	}
	return first, last, ok
}
