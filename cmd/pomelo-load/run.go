package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"time"

	"pomelofork/bench/load"
	"pomelofork/bench/proc"
	"pomelofork/bench/tally"
	"pomelofork/bench/verify"
)

// runCommand sends the traffic of one run to a fleet and checks the results.
type runCommand struct {
	Config    string             `required:"" type:"existingfile" help:"Configuration file that is in force in the fleet."`
	Entries   []string           `required:"" help:"Addresses of the entry instances."`
	Seed      uint64             `default:"1" help:"Seed of all random choices."`
	Duration  time.Duration      `default:"30s" help:"Time over which operations arrive."`
	Share     float64            `default:"0.5" help:"Load of each client account, as a fraction of its rate."`
	Factor    map[string]float64 `help:"Factor by which the load of single client accounts is multiplied, as account=factor."`
	KeyPrefix string             `default:"demo-" help:"Prefix of the accounts' keys. A key is this prefix followed by the name of the account."`
	Roam      float64            `default:"0.02" help:"Probability that a session moves to another entry before an operation."`
	Forgetful float64            `default:"0.1" help:"Share of sessions that never send their token when they reconnect, so that their reads need not see their own writes."`
	Deadline  time.Duration      `default:"15s" help:"Time limit of one operation, including its retries."`
	Attempts  int                `default:"200" help:"Maximum number of attempts of one operation."`
	Mark      string             `help:"Mark of the items and ledger ids that this run writes, so that runs can share a fleet. Default: derived from the current time."`
	FreshOnly bool               `help:"Send every read on the route that requires the latest data, as a baseline."`
	Platform  string             `help:"Base URL of the platform's emulator. If set, the calls that it receives are counted."`
	Out       string             `help:"File to which the result is written, in addition to standard output."`
	History   string             `help:"File for the history of all operations, as JSON."`
}

// plan returns the plan that follows from the flags and the configuration file.
func (c *runCommand) plan() (load.Plan, error) {
	config, err := readConfig(c.Config)
	if err != nil {
		return load.Plan{}, err
	}
	mark := c.Mark
	if mark == "" {
		mark = "r" + strconv.FormatInt(time.Now().UnixMilli(), 36)
	}
	plan, err := load.PlanFrom(config, load.PlanOptions{
		Share:   c.Share,
		Factors: c.Factor,
		KeyOf:   func(account string) string { return c.KeyPrefix + account },
	}, load.Plan{
		Run:             mark,
		Seed:            c.Seed,
		Duration:        c.Duration,
		Entries:         c.Entries,
		Mix:             load.DefaultMix(),
		RoamProbability: c.Roam,
		TokenlessShare:  c.Forgetful,
		Deadline:        c.Deadline,
		Attempts:        c.Attempts,
	})
	if c.FreshOnly {
		for i := range plan.Services {
			plan.Services[i].Aged = plan.Services[i].Fresh
		}
	}
	return plan, err
}

// Run sends the traffic, prints the result and sets status if a guarantee was violated.
func (c *runCommand) Run(ctx context.Context, status *int) error {
	plan, err := c.plan()
	if err != nil {
		return err
	}
	callsBefore, err := storeCalls(ctx, c.Platform)
	if err != nil {
		return err
	}
	start := time.Now()
	history, err := load.Run(ctx, plan)
	if c.History != "" {
		if err := writeJSON(c.History, history); err != nil {
			return err
		}
	}
	if err != nil {
		return err
	}
	result := tally.Summarize(history)
	result.Seed, result.Processors = c.Seed, runtime.NumCPU()
	if result.MachineLoad, err = proc.LoadAverage(); err != nil {
		return err
	}
	if c.Platform != "" {
		calls, err := callsSince(ctx, c.Platform, callsBefore, start)
		if err != nil {
			return err
		}
		result.StoreCallsPerS = calls
	}
	if err := c.print(result, history); err != nil {
		return err
	}
	if !result.Holds {
		*status = exitViolated
	}
	return nil
}

// print writes the result to standard output, and to the file of --out if it is set. A run
// without operations is an error, because it checked nothing.
func (c *runCommand) print(result tally.Result, history verify.History) error {
	if len(history.Ops) == 0 {
		return fmt.Errorf("seed %d: the run contained no operation", c.Seed)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(result); err != nil {
		return err
	}
	if c.Out == "" {
		return nil
	}
	return writeJSON(c.Out, result)
}

// writeJSON writes a value to a file as JSON. It creates the directory of the file if needed.
func writeJSON(path string, value any) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}
