package burn

import "time"

// Severity says how urgently somebody has to look at an alert.
type Severity string

// The severities.
const (
	// SeverityPage means that somebody has to look at once.
	SeverityPage Severity = "page"
	// SeverityTicket means that the alert can wait for working hours.
	SeverityTicket Severity = "ticket"
)

// Rule is one alert rule. It fires when the burn rates of both windows are Threshold or
// higher.
type Rule struct {
	// Long and Short are the lengths of the two windows.
	Long, Short time.Duration
	// Threshold is the burn rate from which on the rule fires.
	Threshold float64
	// Severity is the urgency of the alert.
	Severity Severity
}

// Rules returns the usual rules for a budget over 30 days: they fire when 2 % of the
// budget is consumed in one hour, 5 % in six hours or 10 % in three days.
func Rules() []Rule {
	const day = 24 * time.Hour
	return []Rule{
		{Long: time.Hour, Short: 5 * time.Minute, Threshold: 14.4, Severity: SeverityPage},
		{Long: 6 * time.Hour, Short: 30 * time.Minute, Threshold: 6, Severity: SeverityPage},
		{Long: 3 * day, Short: 6 * time.Hour, Threshold: 1, Severity: SeverityTicket},
	}
}

// ScaleRules returns copies of the rules with the lengths of all windows multiplied by
// factor, for runs that are shorter than a month.
func ScaleRules(rules []Rule, factor float64) []Rule {
	scaled := make([]Rule, len(rules))
	for i, rule := range rules {
		rule.Long = time.Duration(float64(rule.Long) * factor)
		rule.Short = time.Duration(float64(rule.Short) * factor)
		scaled[i] = rule
	}
	return scaled
}
