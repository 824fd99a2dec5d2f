// Command pomelo-load sends open-loop traffic to a fleet, checks the recorded history of
// the callers' operations against the fleet's guarantees and measures latency, availability
// and cost. It also runs the experiments that need no fleet, and writes docs/CAPACITY.md
// and docs/MEASURES.md from the results.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// The exit statuses: the command succeeded, the run violated a guarantee, or the command
// failed.
const (
	exitOK       = 0
	exitViolated = 1
	exitError    = 2
)

// commands lists the subcommands. Every flag can also be set by an environment variable that
// starts with POMELO_LOAD_, for example POMELO_LOAD_SEED.
type commands struct {
	Run      runCommand      `cmd:"" help:"Send traffic to a fleet and print one JSON object. Exit status 0: no guarantee was violated; 1: a guarantee was violated; 2: the run failed."`
	Layout   layoutCommand   `cmd:"" help:"Print parts of a configuration as lines of text, for scripts."`
	Config   configCommand   `cmd:"" help:"Print a generated configuration of a given size."`
	Sample   sampleCommand   `cmd:"" help:"Measure the processor time, memory and I/O of running processes."`
	Capacity capacityCommand `cmd:"" help:"Write docs/CAPACITY.md, or another file, from measured results."`
	Measures measuresCommand `cmd:"" help:"Write docs/MEASURES.md and its JSON form, or other files, from measured results."`
	Parts    partsCommand    `cmd:"" help:"Compare the policies for slots, reads, rates and failovers with simpler ones, without a fleet."`
	Slopes   slopesCommand   `cmd:"" help:"Measure how the cost of single parts of an instance grows with the size of a fleet."`
	Speed    speedCommand    `cmd:"" help:"Compare statements through an instance with statements over a direct connection."`
	Primary  primaryCommand  `cmd:"" help:"Print the primary of an emulated group of backend servers."`
}

func main() {
	var cli commands
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	kctx := kong.Parse(&cli,
		kong.Name("pomelo-load"),
		kong.Description("Open-loop load and experiments for pomelofork."),
		kong.DefaultEnvars("POMELO_LOAD"),
		kong.BindTo(ctx, (*context.Context)(nil)))
	status := exitOK
	kctx.Bind(&status)
	if err := kctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "pomelo-load:", err)
		status = exitError
	}
	os.Exit(status)
}
