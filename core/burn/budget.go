package burn

import (
	"maps"
	"slices"
	"time"
)

// Budget tracks the error budget of one objective. Some objectives are evaluated
// separately for several parts of the fleet, such as each client account or each
// service. A Budget holds one series of counts for each part, and its burn rate is that
// of the part with the highest one.
type Budget struct {
	objective Objective
	samples   int
	parts     map[string]*Series
}

// BudgetConfig holds the settings of a budget.
type BudgetConfig struct {
	// Objective is the objective whose budget is tracked.
	Objective Objective
	// Samples is the number of samples kept for each part. Values below 2 count as 2.
	Samples int
}

// NewBudget returns a budget without samples.
func NewBudget(c BudgetConfig) *Budget {
	return &Budget{objective: c.Objective, samples: c.Samples, parts: map[string]*Series{}}
}

// Objective returns the objective whose budget is tracked.
func (b *Budget) Objective() Objective { return b.objective }

// Add appends a sample of one part: its count of all events up to now. Objectives without
// separate parts use the empty name.
func (b *Budget) Add(now time.Time, part string, count Count) {
	if b.parts[part] == nil {
		b.parts[part] = NewSeries(SeriesConfig{Limit: b.samples})
	}
	b.parts[part].Add(now, count)
}

// Rate is the burn rate of one part in one window.
type Rate struct {
	part  string
	count Count
	burn  float64
}

// Part returns the name of the part.
func (r Rate) Part() string { return r.part }

// Count returns the events of the part in the window.
func (r Rate) Count() Count { return r.count }

// Burn returns the burn rate. At 1 the budget is consumed exactly over the period of the
// objective.
func (r Rate) Burn() float64 { return r.burn }

// Burn returns the highest burn rate among the parts in the window that ends now. It is
// zero without samples.
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

// burnOf returns the burn rate of one part in the window that ends now.
func (b *Budget) burnOf(now time.Time, window time.Duration, part string) Rate {
	series, ok := b.parts[part]
	if !ok {
		return Rate{part: part}
	}
	count := series.Within(now, window)
	return Rate{part: part, count: count, burn: count.BadShare() / b.objective.Budget()}
}

// Span returns the times of the first and the last sample over all parts, and false if
// there are no samples.
func (b *Budget) Span() (first, last time.Time, ok bool) {
	for _, series := range b.parts {
		from, to, found := series.Span()
		if !found {
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
