package scrape

import (
	"time"

	"pomelofork/core/burn"
	"pomelofork/core/model"
)

// samplesKept is the number of samples that a budget keeps of each part.
const samplesKept = 4096

// Budgets feeds snapshots into the budgets of all objectives.
type Budgets struct {
	budgets  map[burn.ID]*burn.Budget
	order    []burn.ID
	accounts map[model.AccountID]*accountTotals
	gaps     map[model.ServiceID]*gapTotal
	all      *burn.Total
	refusals burn.Count
	first    time.Time
	last     time.Time
}

// accountTotals are the running counts of one client account over the fleet.
type accountTotals struct {
	// answers counts units, those that failed as bad, and refusals counts units,
	// those turned away by rate as bad.
	answers, refusals *burn.Total
	// before is refusals as of the last round.
	before burn.Count
}

// NewBudgets returns budgets for the objectives.
func NewBudgets(objectives []burn.Objective) *Budgets {
	b := &Budgets{
		budgets:  map[burn.ID]*burn.Budget{},
		accounts: map[model.AccountID]*accountTotals{},
		gaps:     map[model.ServiceID]*gapTotal{},
		all:      burn.NewTotal(),
	}
	for _, objective := range objectives {
		b.budgets[objective.ID] = burn.NewBudget(burn.BudgetConfig{Objective: objective, Samples: samplesKept})
		b.order = append(b.order, objective.ID)
	}
	return b
}

// All returns the budgets in the order of their objectives.
func (b *Budgets) All() []*burn.Budget {
	list := make([]*burn.Budget, 0, len(b.order))
	for _, id := range b.order {
		list = append(list, b.budgets[id])
	}
	return list
}

// Last returns the time of the last round.
func (b *Budgets) Last() time.Time { return b.last }

// Add takes the snapshots of one round, which were taken at the same time. Rounds
// come in the order of time.
func (b *Budgets) Add(round []Snapshot) {
	if len(round) == 0 {
		return
	}
	now := round[0].At()
	if b.first.IsZero() {
		b.first, b.last = now, now
	}
	rates := map[model.AccountID]Rate{}
	for _, snapshot := range round {
		b.take(snapshot.Vars)
		for id, rate := range snapshot.Vars.Rates {
			rates[id] = rate
		}
	}
	b.addAnswers(now)
	b.addGaps(now)
	b.addRefusals(now, rates)
	b.last = now
}

// take adds the counters of one instance to the totals.
func (b *Budgets) take(vars Vars) {
	source := string(vars.Instance)
	for id, account := range vars.Accounts {
		totals := b.account(id)
		answers := burn.NewCount(account.Served+account.Failed, account.Failed)
		totals.answers.Update(source, answers)
		totals.refusals.Update(source, burn.NewCount(account.Served+account.Failed+account.RefusedByRate, account.RefusedByRate))
		b.all.Update(source+"/"+string(id), answers)
	}
	for id, service := range vars.Services {
		if b.gaps[id] == nil {
			b.gaps[id] = newGapTotal()
		}
		b.gaps[id].update(source, service.GapMS)
	}
}

// account returns the totals of a client account.
func (b *Budgets) account(id model.AccountID) *accountTotals {
	if b.accounts[id] == nil {
		b.accounts[id] = &accountTotals{answers: burn.NewTotal(), refusals: burn.NewTotal()}
	}
	return b.accounts[id]
}

// addAnswers feeds availability and the worst-served account.
func (b *Budgets) addAnswers(now time.Time) {
	b.feed(burn.Availability, now, "", b.all.Running())
	for id, totals := range b.accounts {
		b.feed(burn.WorstAccount, now, string(id), totals.answers.Running())
	}
}

// feed adds a sample to a budget, if its objective is watched.
func (b *Budgets) feed(id burn.ID, now time.Time, part string, running burn.Count) {
	if budget, ok := b.budgets[id]; ok {
		budget.Add(now, part, running)
	}
}

// addGaps feeds the gaps in writes. The events are the milliseconds of each service.
func (b *Budgets) addGaps(now time.Time) {
	elapsed := float64(now.Sub(b.first).Milliseconds())
	for id, gap := range b.gaps {
		b.feed(burn.FailoverGap, now, string(id), burn.NewCount(elapsed, gap.closeRound()))
	}
}

// addRefusals feeds the refusals that rate and burst didn't justify: as many of a
// round's refusals as the account could have had units by its rate alone and didn't
// get. Arrivals that bunch up inside a round make this an upper bound.
func (b *Budgets) addRefusals(now time.Time, rates map[model.AccountID]Rate) {
	elapsed := now.Sub(b.last).Seconds()
	for id, totals := range b.accounts {
		running := totals.refusals.Running()
		round := running.Minus(totals.before)
		totals.before = running
		unused := max(0, rates[id].PerSecond*elapsed-(round.Total()-round.Bad()))
		b.refusals = b.refusals.Plus(burn.NewCount(round.Total(), min(round.Bad(), unused)))
	}
	b.feed(burn.WrongfulRefusals, now, "", b.refusals)
}
