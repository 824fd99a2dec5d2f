package main

// reportCommand holds the reports on a running or recorded fleet.
type reportCommand struct {
	Burn burnCommand `cmd:"" help:"Say how fast the fleet uses up the error budgets of its objectives."`
}
