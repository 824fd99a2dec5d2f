// Command pomelo-failover measures, for each policy of failure detection, how long writes
// stop when a primary fails, and how often a short disturbance alone makes the policy
// replace a healthy primary. It prints one JSON object.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"

	"pomelofork/bench/change"
)

// settings holds the command-line flags.
type settings struct {
	Runs      int    `default:"30" help:"Number of failovers for each policy and fault."`
	PauseRuns int    `default:"10" help:"Number of disturbances of each kind and length for each policy."`
	Seed      uint64 `default:"1" help:"Seed of the times at which faults begin."`
	Parallel  int    `default:"4" help:"Number of server groups that run concurrently."`
}

func main() {
	var s settings
	kong.Parse(&s, kong.Name("pomelo-failover"), kong.Description("Measure failovers of the primary under several policies of failure detection."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, s); err != nil {
		fmt.Fprintln(os.Stderr, "pomelo-failover:", err)
		os.Exit(1)
	}
}

// run measures the failovers and prints the result as JSON.
func run(ctx context.Context, s settings) error {
	if s.Runs < 1 || s.PauseRuns < 1 || s.Parallel < 1 {
		return errors.New("--runs, --pause-runs and --parallel must be at least 1")
	}
	c := change.DefaultConfig()
	c.Runs, c.PauseRuns, c.Seed, c.Parallel = s.Runs, s.PauseRuns, s.Seed, s.Parallel
	result, err := change.Run(ctx, c)
	if err != nil {
		return err
	}
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return out.Encode(result)
}
