package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"pomelofork/core/burn"
	"pomelofork/io/scrape"
)

// burnCommand reports how fast error budgets are consumed. It reads the metrics from running
// instances, from a file of saved snapshots, or both.
type burnCommand struct {
	Instances []string      `env:"POMELOFORK_INSTANCES" help:"Administration addresses of the instances whose metrics are read."`
	For       time.Duration `default:"10s" help:"How long to read the metrics of the instances."`
	Every     time.Duration `default:"2s" help:"Time between two readings."`
	Snapshots string        `type:"existingfile" help:"File of saved snapshots to evaluate, in place of the metrics of instances or before them."`
	Save      string        `help:"File to which the snapshots of the instances are appended, as JSON lines."`
	Scale     float64       `default:"1" help:"Factor by which the windows of all alert rules are multiplied, for runs shorter than a month."`
	Output    string        `enum:"table,json" default:"table" help:"Format of the report: table or json."`
	Picture   string        `help:"PNG file to write, with a chart of the burn rates over time."`
}

// Validate checks the flags. Kong calls it and adds the name of the command to the error.
func (c *burnCommand) Validate() error {
	switch {
	case len(c.Instances) == 0 && c.Snapshots == "":
		return errors.New("--instances, --snapshots or both must be set")
	case c.Every <= 0 || c.For < 0:
		return errors.New("--every must be positive and --for not negative")
	case c.Scale <= 0:
		return errors.New("--scale must be positive")
	}
	return nil
}

// Run prints the report, and writes the chart if --picture is set.
func (c *burnCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	rounds, err := c.rounds(ctx)
	if err != nil {
		return err
	}
	budgets := scrape.NewBudgets(burn.Objectives())
	history := burnHistory{window: c.rules()[0].Short}
	for _, round := range rounds {
		budgets.Add(round)
		history.add(budgets)
	}
	if c.Picture != "" {
		if err := history.writeChart(c.Picture); err != nil {
			return err
		}
	}
	report := newBurnReport(budgets, c.rules())
	if c.Output == "json" {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	return report.writeTable(os.Stdout)
}

// rules returns the alert rules, with their windows scaled by --scale.
func (c *burnCommand) rules() []burn.Rule { return burn.ScaleRules(burn.Rules(), c.Scale) }

// rounds returns the saved snapshots, followed by those that it reads from the instances. A
// round holds the snapshots of all instances that were taken at the same time.
func (c *burnCommand) rounds(ctx context.Context) ([][]scrape.Snapshot, error) {
	var rounds [][]scrape.Snapshot
	if c.Snapshots != "" {
		saved, err := readRounds(c.Snapshots)
		if err != nil {
			return nil, err
		}
		rounds = saved
	}
	if len(c.Instances) > 0 {
		live, err := c.readInstances(ctx)
		if err != nil {
			return nil, err
		}
		rounds = append(rounds, live...)
	}
	if len(rounds) == 0 {
		return nil, errors.New("the file of --snapshots contains no snapshots")
	}
	return rounds, nil
}

// readRounds reads a file of saved snapshots and groups them into rounds.
func readRounds(path string) ([][]scrape.Snapshot, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	snapshots, err := scrape.ReadSnapshots(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	var rounds [][]scrape.Snapshot
	for _, snapshot := range snapshots {
		if n := len(rounds); n > 0 && rounds[n-1][0].AtMS == snapshot.AtMS {
			rounds[n-1] = append(rounds[n-1], snapshot)
			continue
		}
		rounds = append(rounds, []scrape.Snapshot{snapshot})
	}
	return rounds, nil
}

// readInstances reads the metrics of the instances every --every, for the time of --for, and
// saves them if --save is set. If ctx is cancelled between two readings, it returns the rounds
// read so far.
func (c *burnCommand) readInstances(ctx context.Context) ([][]scrape.Snapshot, error) {
	client := scrape.New(scrape.Config{Addresses: c.Instances, OnFailure: func(address string, err error) {
		slog.Warn("metrics of an instance could not be read", slog.String("instance", address), slog.String("error", err.Error()))
	}})
	ticker := time.NewTicker(c.Every)
	defer ticker.Stop()
	end := time.Now().Add(c.For)
	var rounds [][]scrape.Snapshot
	for {
		round, err := client.Read(ctx, time.Now())
		if err != nil {
			return nil, err
		}
		if err := c.appendToFile(round); err != nil {
			return nil, err
		}
		rounds = append(rounds, round)
		if !time.Now().Add(c.Every).Before(end) {
			return rounds, nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return rounds, nil
		}
	}
}

// appendToFile appends a round to the file of --save, if it is set.
func (c *burnCommand) appendToFile(round []scrape.Snapshot) error {
	if c.Save == "" {
		return nil
	}
	file, err := os.OpenFile(c.Save, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	return errors.Join(scrape.WriteSnapshots(file, round), file.Close())
}
