package burn

import "time"

// Alert is the result of evaluating one rule for one objective.
type Alert struct {
	objective   ID
	rule        Rule
	long, short Rate
}

// Objective returns the objective that the rule was evaluated for.
func (a Alert) Objective() ID { return a.objective }

// Rule returns the rule that was evaluated.
func (a Alert) Rule() Rule { return a.rule }

// Long returns the burn rate in the long window, for the worst part.
func (a Alert) Long() Rate { return a.long }

// Short returns the burn rate in the short window, for the same part.
func (a Alert) Short() Rate { return a.short }

// Firing reports whether the burn rates of both windows reach the rule's threshold.
func (a Alert) Firing() bool {
	return a.long.burn >= a.rule.Threshold && a.short.burn >= a.rule.Threshold
}

// Alerts evaluates each rule and returns its alert, for the worst part of the budget. A
// part whose alert fires is worse than one whose alert doesn't; otherwise the part with
// the higher burn rate in the long window is worse.
func (b *Budget) Alerts(now time.Time, rules []Rule) []Alert {
	alerts := make([]Alert, 0, len(rules))
	for _, rule := range rules {
		alerts = append(alerts, b.alert(now, rule))
	}
	return alerts
}

// alert evaluates one rule and returns the alert of the worst part.
func (b *Budget) alert(now time.Time, rule Rule) Alert {
	worst := Alert{objective: b.objective.ID, rule: rule}
	for part := range b.parts {
		candidate := worst
		candidate.long = b.burnOf(now, rule.Long, part)
		candidate.short = b.burnOf(now, rule.Short, part)
		if worst.long.part == "" || worse(candidate, worst) {
			worst = candidate
		}
	}
	return worst
}

// worse reports whether alert a is worse than alert b of the same rule. Ties are broken
// by the names of the parts.
func worse(a, b Alert) bool {
	if a.Firing() != b.Firing() {
		return a.Firing()
	}
	if a.long.burn != b.long.burn {
		return a.long.burn > b.long.burn
	}
	return a.long.part < b.long.part
}
