package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"time"

	"pomelofork/bench/pages"
	"pomelofork/bench/proc"
)

// sampleCommand measures the processor time, memory and I/O of running processes.
type sampleCommand struct {
	Dir      string        `required:"" type:"existingdir" help:"Directory of the files NAME.pid, which hold process ids."`
	Pattern  string        `default:"entry-*" help:"Pattern for the names of the processes to measure."`
	For      time.Duration `default:"10s" help:"Time over which to measure."`
	Platform string        `help:"Base URL of the platform's emulator. If set, the calls that it receives are counted as well."`
}

// Run prints the report as one JSON object.
func (c *sampleCommand) Run(ctx context.Context) error {
	pids, err := proc.PIDs(c.Dir, c.Pattern)
	if err != nil {
		return err
	}
	report, err := sample(ctx, pids, c.For, c.Platform)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

// sample measures the processes for a length of time. Pids gives their process ids by name.
func sample(ctx context.Context, pids map[string]int, length time.Duration, platform string) (pages.FleetSample, error) {
	var report pages.FleetSample
	callsBefore, err := storeCalls(ctx, platform)
	if err != nil {
		return report, err
	}
	before, err := proc.ReadAll(pids)
	if err != nil {
		return report, err
	}
	start := time.Now()
	select {
	case <-time.After(length):
	case <-ctx.Done():
		return report, ctx.Err()
	}
	after, err := proc.ReadAll(pids)
	if err != nil {
		return report, err
	}
	elapsed := time.Since(start)
	report = pages.NewFleetSample(proc.Between(before, after, elapsed), elapsed.Seconds())
	if report.MachineLoad, err = proc.LoadAverage(); err != nil {
		return report, err
	}
	report.StoreCallsPerS, err = callsSince(ctx, platform, callsBefore, start)
	return report, err
}

// callsSince returns the number of calls per second that the platform's emulator has received
// since start, when it had received the calls counted in before. The keys are kinds of calls.
func callsSince(ctx context.Context, platform string, before map[string]float64, start time.Time) (map[string]float64, error) {
	calls, err := storeCalls(ctx, platform)
	if err != nil {
		return nil, err
	}
	elapsed := time.Since(start).Seconds()
	for name := range calls {
		calls[name] = (calls[name] - before[name]) / elapsed
	}
	return calls, nil
}

// storeCalls asks the platform's emulator how many calls of each kind it has received. It
// returns nil if platform, the emulator's base URL, is empty.
func storeCalls(ctx context.Context, platform string) (map[string]float64, error) {
	if platform == "" {
		return nil, nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, platform+"/control/calls", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	calls := map[string]float64{}
	return calls, json.NewDecoder(response.Body).Decode(&calls)
}
