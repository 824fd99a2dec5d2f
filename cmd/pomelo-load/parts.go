package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"pomelofork/bench/change"
	"pomelofork/bench/pages"
	"pomelofork/bench/quota"
	"pomelofork/bench/reads"
	"pomelofork/bench/slots"
)

// partsCommand compares policies of the proxy with simpler ones on seeded loads, without a
// fleet.
type partsCommand struct {
	Out  string `required:"" help:"Directory in which NAME.json and NAME.md are written for each comparison."`
	Seed uint64 `default:"1" help:"Seed of all random choices."`

	Only []string `default:"slots,reads,rates,changes" enum:"slots,reads,rates,changes" help:"Comparisons to run."`

	ChangeRuns int `default:"30" help:"Number of failovers for each policy of failure detection and each fault."`
	PauseRuns  int `default:"10" help:"Number of disturbances of each kind and length for each policy of failure detection."`
}

// deployments names the example deployments that are compared.
var deployments = []string{"slamka", "levesque"}

// Run makes the comparisons that --only names and writes their results.
func (c *partsCommand) Run(ctx context.Context) error {
	for _, name := range c.Only {
		if err := c.compare(ctx, name); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// compare makes one comparison and writes its result.
func (c *partsCommand) compare(ctx context.Context, name string) error {
	switch name {
	case "slots":
		return c.slots()
	case "reads":
		return c.reads()
	case "rates":
		report := quota.Compare(c.Seed)
		return c.write("rates", report, pages.QuotaTable(report))
	default:
		return c.changes(ctx)
	}
}

// changes compares the policies that detect a failed primary. Unlike the other comparisons it
// runs in real time over loopback connections.
func (c *partsCommand) changes(ctx context.Context) error {
	config := change.DefaultConfig()
	config.Seed, config.Runs, config.PauseRuns = c.Seed, c.ChangeRuns, c.PauseRuns
	result, err := change.Run(ctx, config)
	if err != nil {
		return err
	}
	return c.write("changes", result, pages.ChangeTable(result))
}

// write writes the result of one comparison as JSON and as a Markdown table.
func (c *partsCommand) write(name string, report any, table string) error {
	if err := writeJSON(filepath.Join(c.Out, name+".json"), report); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(c.Out, name+".md"), []byte(table), 0o644)
}

// slots compares the queues of statements that wait for a slot of a backend server.
func (c *partsCommand) slots() error {
	report := pages.SlotsReport{}
	for _, deployment := range deployments {
		report[deployment] = map[string]map[string]slots.Result{}
		for name, excessive := range map[string]bool{"calm": false, "one account at five times its rate": true} {
			load, err := slots.Load(deployment, c.Seed, excessive)
			if err != nil {
				return err
			}
			report[deployment][name] = map[string]slots.Result{
				"deficit round robin":     slots.Run(load, slots.RoundRobin),
				"first come first served": slots.Run(load, slots.FIFO),
			}
		}
	}
	return c.write("slots", report, report.Table())
}

// reads compares the policies that choose the server for a read.
func (c *partsCommand) reads() error {
	report := pages.ReadsReport{}
	for _, deployment := range deployments {
		load, err := reads.Load(deployment, c.Seed)
		if err != nil {
			return err
		}
		report[deployment] = map[string]reads.Result{
			"tokens and ages": reads.Run(load, reads.TokensAndAges),
			"primary only":    reads.Run(load, reads.PrimaryOnly),
			"round robin":     reads.Run(load, reads.RoundRobin),
		}
	}
	return c.write("reads", report, report.Table())
}
