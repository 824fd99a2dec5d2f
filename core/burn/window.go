package burn

import "time"

// Severity says who has to look at an alert.
type Severity string

// The severities.
const (
	// SeverityPage wants somebody at once.
	SeverityPage Severity = "page"
	// SeverityTicket can wait for working hours.
	SeverityTicket Severity = "ticket"
)

// Window is one rule: it fires when both windows burn at Threshold or faster.
type Window struct {
	// Long and Short are the lengths of the two windows.
	Long, Short time.Duration
	// Threshold is the burn rate that is too fast.
	Threshold float64
	// Severity says who has to look.
	Severity Severity
}

// Windows returns the customary rules for a budget of 30 days: 2 % of it gone in
// an hour, 5 % in six hours, 10 % in three days.
func Windows() []Window {
	const day = 24 * time.Hour
	return []Window{
		{Long: time.Hour, Short: 5 * time.Minute, Threshold: 14.4, Severity: SeverityPage},
		{Long: 6 * time.Hour, Short: 30 * time.Minute, Threshold: 6, Severity: SeverityPage},
		{Long: 3 * day, Short: 6 * time.Hour, Threshold: 1, Severity: SeverityTicket},
	}
}

// Scaled returns the rules with all lengths multiplied, for runs that are shorter
// than a month.
func Scaled(windows []Window, factor float64) []Window {
	scaled := make([]Window, len(windows))
	for i, w := range windows {
		w.Long = time.Duration(float64(w.Long) * factor)
		w.Short = time.Duration(float64(w.Short) * factor)
		scaled[i] = w
	}
	return scaled
}
