package main

// reportCommand holds the reports on the metrics of a running fleet or on recorded metrics.
type reportCommand struct {
	Burn burnCommand `cmd:"" help:"Report how fast the fleet consumes the error budgets of its service-level objectives."`
}
