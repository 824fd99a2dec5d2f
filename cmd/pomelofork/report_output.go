package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"pomelofork/core/burn"
	"pomelofork/io/scrape"
)

// burnReport is the JSON form of a report on error budgets.
type burnReport struct {
	AtMS       int64           `json:"at_ms"`
	CoveredS   float64         `json:"covered_s"`
	Objectives []burnObjective `json:"objectives"`
}

// burnObjective is one objective of a report.
type burnObjective struct {
	Objective burn.ID    `json:"objective"`
	Target    float64    `json:"target"`
	Rules     []burnRule `json:"rules"`
}

// burnRule is the result of one alert rule of an objective.
type burnRule struct {
	Severity  burn.Severity `json:"severity"`
	LongS     float64       `json:"long_s"`
	ShortS    float64       `json:"short_s"`
	Threshold float64       `json:"threshold"`
	// Part is the part of the fleet with the highest burn rate in the long window, such as a
	// client account. It is empty for objectives without parts.
	Part      string  `json:"part,omitempty"`
	Total     float64 `json:"total"`
	Bad       float64 `json:"bad"`
	LongBurn  float64 `json:"long_burn"`
	ShortBurn float64 `json:"short_burn"`
	Firing    bool    `json:"firing"`
}

// newBurnReport evaluates the alert rules as of the last round that was added to the budgets.
func newBurnReport(budgets *scrape.Budgets, rules []burn.Rule) burnReport {
	now := budgets.Last()
	report := burnReport{AtMS: now.UnixMilli()}
	for _, budget := range budgets.All() {
		objective := burnObjective{Objective: budget.Objective().ID, Target: budget.Objective().Target}
		for _, alert := range budget.Alerts(now, rules) {
			objective.Rules = append(objective.Rules, newBurnRule(alert))
		}
		report.Objectives = append(report.Objectives, objective)
		if first, last, ok := budget.Span(); ok {
			report.CoveredS = max(report.CoveredS, last.Sub(first).Seconds())
		}
	}
	return report
}

// newBurnRule returns the JSON form of one alert.
func newBurnRule(alert burn.Alert) burnRule {
	rule := alert.Rule()
	return burnRule{
		Severity:  rule.Severity,
		LongS:     rule.Long.Seconds(),
		ShortS:    rule.Short.Seconds(),
		Threshold: rule.Threshold,
		Part:      alert.Long().Part(),
		Total:     alert.Long().Count().Total(),
		Bad:       alert.Long().Count().Bad(),
		LongBurn:  alert.Long().Burn(),
		ShortBurn: alert.Short().Burn(),
		Firing:    alert.Firing(),
	}
}

// writeTable writes the report as a table.
func (r burnReport) writeTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "OBJECTIVE\tTARGET\tWORST\tLONG\tBURN\tSHORT\tBURN\tLIMIT\tBAD OF TOTAL\tALERT")
	for _, objective := range r.Objectives {
		for _, rule := range objective.Rules {
			alert := "-"
			if rule.Firing {
				alert = string(rule.Severity)
			}
			fmt.Fprintf(table, "%s\t%.5g\t%s\t%s\t%.2f\t%s\t%.2f\t%g\t%.0f of %.0f\t%s\n",
				objective.Objective, objective.Target, dashIfEmpty(rule.Part),
				formatSeconds(rule.LongS), rule.LongBurn, formatSeconds(rule.ShortS), rule.ShortBurn, rule.Threshold,
				rule.Bad, rule.Total, alert)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "The metrics cover %s; longer windows are evaluated over that time only.\n", formatSeconds(r.CoveredS))
	return err
}

// dashIfEmpty returns text, or a dash in place of empty text.
func dashIfEmpty(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// formatSeconds formats a number of seconds as a duration, rounded to milliseconds.
func formatSeconds(s float64) string {
	return time.Duration(s * float64(time.Second)).Round(time.Millisecond).String()
}
