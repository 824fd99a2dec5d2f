package scrape

import (
	"time"

	"pomelofork/core/burn"
	"pomelofork/core/model"
)

// samplesKept is the number of samples that a budget keeps for each of its parts, such
// as one client account or one service.
const samplesKept = 4096

// Budgets computes the error budgets of all objectives from snapshots of the fleet.
type Budgets struct {
	budgets  map[burn.ID]*burn.Budget
	order    []burn.ID
	accounts map[model.AccountID]*accountTotals
	gaps     map[model.ServiceID]*gapTotal
	// fleet counts the units of work of all accounts that were not rejected. The failed
	// ones are bad.
	fleet *burn.Total
	// wrongful counts all units of work, including rejected ones. Those that were rejected
	// although the account's rate allowed them are bad.
	wrongful burn.Count
	// firstRound and lastRound are the times of the first and the latest round.
	firstRound time.Time
	lastRound  time.Time
}

// accountTotals holds the running totals of one client account, summed over the instances
// of the fleet.
type accountTotals struct {
	// answers counts the units of work that were not rejected. The failed ones are bad.
	// refusals also counts those rejected because of the rate, and only they are bad.
	answers, refusals *burn.Total
	// previousRefusals is the value of refusals at the end of the previous round.
	previousRefusals burn.Count
}

// NewBudgets returns budgets without samples for the objectives.
func NewBudgets(objectives []burn.Objective) *Budgets {
	b := &Budgets{
		budgets:  map[burn.ID]*burn.Budget{},
		accounts: map[model.AccountID]*accountTotals{},
		gaps:     map[model.ServiceID]*gapTotal{},
		fleet:    burn.NewTotal(),
	}
	for _, objective := range objectives {
		b.budgets[objective.ID] = burn.NewBudget(burn.BudgetConfig{Objective: objective, Samples: samplesKept})
		b.order = append(b.order, objective.ID)
	}
	return b
}

// All returns the budgets in the order in which NewBudgets got their objectives.
func (b *Budgets) All() []*burn.Budget {
	list := make([]*burn.Budget, 0, len(b.order))
	for _, id := range b.order {
		list = append(list, b.budgets[id])
	}
	return list
}

// Last returns the time of the latest round, or the zero time if there was none.
func (b *Budgets) Last() time.Time { return b.lastRound }

// Add adds the snapshots of one round, which must all have the same time. Rounds must be
// added in the order of their times.
func (b *Budgets) Add(round []Snapshot) {
	if len(round) == 0 {
		return
	}
	now := round[0].At()
	if b.firstRound.IsZero() {
		b.firstRound, b.lastRound = now, now
	}
	rates := map[model.AccountID]Rate{}
	for _, snapshot := range round {
		b.updateTotals(snapshot.Vars)
		for id, rate := range snapshot.Vars.Rates {
			rates[id] = rate
		}
	}
	b.addAnswers(now)
	b.addGaps(now)
	b.addRefusals(now, rates)
	b.lastRound = now
}

// updateTotals updates the totals with the counters of one instance.
func (b *Budgets) updateTotals(vars Vars) {
	source := string(vars.Instance)
	for id, account := range vars.Accounts {
		totals := b.account(id)
		answers := burn.NewCount(account.Served+account.Failed, account.Failed)
		totals.answers.Update(source, answers)
		totals.refusals.Update(source, burn.NewCount(account.Served+account.Failed+account.RefusedByRate, account.RefusedByRate))
		b.fleet.Update(source+"/"+string(id), answers)
	}
	for id, service := range vars.Services {
		if b.gaps[id] == nil {
			b.gaps[id] = newGapTotal()
		}
		b.gaps[id].update(source, service.GapMS)
	}
}

// account returns the totals of a client account and creates them when it is new.
func (b *Budgets) account(id model.AccountID) *accountTotals {
	if b.accounts[id] == nil {
		b.accounts[id] = &accountTotals{answers: burn.NewTotal(), refusals: burn.NewTotal()}
	}
	return b.accounts[id]
}

// addAnswers adds samples to the budgets of Availability and WorstAccount.
func (b *Budgets) addAnswers(now time.Time) {
	b.addSample(burn.Availability, now, "", b.fleet.Running())
	for id, totals := range b.accounts {
		b.addSample(burn.WorstAccount, now, string(id), totals.answers.Running())
	}
}

// addSample adds a sample to the budget of an objective. It does nothing if the objective
// was not given to NewBudgets.
func (b *Budgets) addSample(id burn.ID, now time.Time, part string, count burn.Count) {
	if budget, ok := b.budgets[id]; ok {
		budget.Add(now, part, count)
	}
}

// addGaps adds samples to the budget of FailoverGap. Its events are the milliseconds of
// each service's time since the first round.
func (b *Budgets) addGaps(now time.Time) {
	elapsed := float64(now.Sub(b.firstRound).Milliseconds())
	for id, gap := range b.gaps {
		b.addSample(burn.FailoverGap, now, string(id), burn.NewCount(elapsed, gap.closeRound()))
	}
}

// addRefusals adds a sample to the budget of WrongfulRefusals. In each round, an account's
// rejected units count as wrongful up to the number of units that its rate allowed and
// that were not executed. This is an upper bound: if requests arrive in bursts within a
// round, some of these rejections were correct.
func (b *Budgets) addRefusals(now time.Time, rates map[model.AccountID]Rate) {
	elapsed := now.Sub(b.lastRound).Seconds()
	for id, totals := range b.accounts {
		count := totals.refusals.Running()
		round := count.Minus(totals.previousRefusals)
		totals.previousRefusals = count
		unused := max(0, rates[id].PerSecond*elapsed-(round.Total()-round.Bad()))
		b.wrongful = b.wrongful.Plus(burn.NewCount(round.Total(), min(round.Bad(), unused)))
	}
	b.addSample(burn.WrongfulRefusals, now, "", b.wrongful)
}
