package main

import (
	"encoding/json"
	"os"

	"pomelofork/bench/slope"
	"pomelofork/core/conf"
)

// slopesCommand measures, inside this process, how the cost of single parts of an instance
// grows with the size of a fleet.
type slopesCommand struct{}

// Run prints the report as one JSON object.
func (c *slopesCommand) Run() error {
	var report slope.Report
	var err error
	byAccounts := func(size int) conf.Document {
		return (&configCommand{Services: 1, Accounts: size, Rate: 100, Burst: 100, Slots: 2, Connections: 16, FirstPort: 7500}).document()
	}
	if report.ConfigByAccounts, err = slope.MeasureConfig([]int{10, 500, 1000, 2000, 4000}, byAccounts); err != nil {
		return err
	}
	byServices := func(size int) conf.Document {
		return (&configCommand{Services: size, Accounts: 8, Rate: 100, Burst: 100, Slots: 2, Connections: 16, FirstPort: 7500}).document()
	}
	if report.ConfigByServices, err = slope.MeasureConfig([]int{3, 100, 200, 400, 830}, byServices); err != nil {
		return err
	}
	if report.RightsByMembers, err = slope.MeasureRights([]int{7, 100, 200, 400, 780}); err != nil {
		return err
	}
	report.LimitsByAccounts = slope.MeasureLimits([]int{8, 100, 1000, 5000})
	report.QueuesByAccounts = slope.MeasureQueues([]int{2, 8, 64, 512})
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", " ")
	return encoder.Encode(report)
}
