// Command pomelo-failover measures changes of primary and prints one JSON object.
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

// settings are the flags of the program.
type settings struct {
	Runs      int    `default:"30" help:"Failovers for each policy and fault."`
	PauseRuns int    `default:"10" help:"Pauses of each length for each policy."`
	Seed      uint64 `default:"1" help:"Seed of the moments of the faults."`
	Parallel  int    `default:"4" help:"Groups that run at once."`
}

func main() {
	var s settings
	kong.Parse(&s, kong.Name("pomelo-failover"), kong.Description("Measure changes of primary."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, s); err != nil {
		fmt.Fprintln(os.Stderr, "pomelo-failover:", err)
		os.Exit(1)
	}
}

// run measures and prints.
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
