// Command pomelo-policy compares two policies of the proxy with simpler ones, in virtual
// time: the queue of statements that wait for a slot of a backend server, and the choice
// of the server for a read. It prints one JSON object.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"pomelofork/bench/reads"
	"pomelofork/bench/slots"
)

// settings holds the command-line flags.
type settings struct {
	Seed uint64 `default:"1" env:"SEED" help:"Seed of every run."`
}

// report is the printed result. Slots is keyed by deployment and load, Reads by deployment
// and policy.
type report struct {
	Seed  uint64                             `json:"seed"`
	Slots map[string]map[string]queueResults `json:"slots"`
	Reads map[string]map[string]reads.Result `json:"reads"`
}

// queueResults holds the results of both queues under the same load.
type queueResults struct {
	RoundRobin slots.Result `json:"deficit_round_robin"`
	FirstCome  slots.Result `json:"first_come"`
}

// deployments names the example deployments whose loads are run.
var deployments = []string{"slamka", "levesque"}

func main() {
	var s settings
	kong.Parse(&s, kong.Description("Compare policies for slots and for reads with simpler ones, in virtual time."))
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "pomelo-policy:", err)
		os.Exit(1)
	}
}

func run(s settings) error {
	r := report{Seed: s.Seed, Slots: map[string]map[string]queueResults{}, Reads: map[string]map[string]reads.Result{}}
	for _, deployment := range deployments {
		if err := r.measureSlots(deployment); err != nil {
			return err
		}
		if err := r.measureReads(deployment); err != nil {
			return err
		}
	}
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return out.Encode(r)
}

func (r *report) measureSlots(deployment string) error {
	r.Slots[deployment] = map[string]queueResults{}
	for name, excessive := range map[string]bool{"calm": false, "one_account_at_five_times_its_rate": true} {
		load, err := slots.Load(deployment, r.Seed, excessive)
		if err != nil {
			return err
		}
		r.Slots[deployment][name] = queueResults{RoundRobin: slots.Run(load, slots.RoundRobin), FirstCome: slots.Run(load, slots.FIFO)}
	}
	return nil
}

func (r *report) measureReads(deployment string) error {
	load, err := reads.Load(deployment, r.Seed)
	if err != nil {
		return err
	}
	r.Reads[deployment] = map[string]reads.Result{
		"tokens":       reads.Run(load, reads.TokensAndAges),
		"primary_only": reads.Run(load, reads.PrimaryOnly),
		"round_robin":  reads.Run(load, reads.RoundRobin),
	}
	return nil
}
