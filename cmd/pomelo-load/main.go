// Command pomelo-load drives a fleet with open-loop traffic, judges what its
// callers saw and measures how it fared.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// The exit statuses.
const (
	exitHolds  = 0
	exitBroken = 1
	exitError  = 2
)

// commands is the command line.
type commands struct {
	Run      runCommand      `cmd:"" help:"Drive a fleet and print one JSON object. Exit status 0: everything held; 1: something that must hold was seen broken; 2: the run failed."`
	Layout   layoutCommand   `cmd:"" help:"Print parts of a configuration in the forms that scripts need."`
	Config   configCommand   `cmd:"" help:"Print a configuration of a given size."`
	Sample   sampleCommand   `cmd:"" help:"Measure what running processes use."`
	Capacity capacityCommand `cmd:"" help:"Write the capacity page from measured results."`
	Measures measuresCommand `cmd:"" help:"Write the page of measures from measured results."`
	Parts    partsCommand    `cmd:"" help:"Compare single decisions with their baselines, without a fleet."`
	Slopes   slopesCommand   `cmd:"" help:"Measure how single parts grow with the size of a fleet."`
	Speed    speedCommand    `cmd:"" help:"Measure the path through an instance against a direct connection."`
	Primary  primaryCommand  `cmd:"" help:"Print the backend server that leads a group of the stand-in."`
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
	status := exitHolds
	kctx.Bind(&status)
	if err := kctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "pomelo-load:", err)
		status = exitError
	}
	os.Exit(status)
}
