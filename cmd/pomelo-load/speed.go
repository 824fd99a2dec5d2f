package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"pomelofork/bench/proc"
	"pomelofork/bench/speed"
)

// speedCommand compares statements through an instance with statements over a direct
// connection to the backend server, and measures throughput and the memory of idle connections.
type speedCommand struct {
	Config   string        `required:"" type:"existingfile" help:"Configuration file that is in force in the fleet."`
	Entries  []string      `required:"" help:"Addresses of the entry instances."`
	Dir      string        `required:"" type:"existingdir" help:"Directory of the files NAME.pid, which hold the process ids of the instances."`
	Account  string        `help:"Client account to log in with. Default: the first one of the configuration."`
	For      time.Duration `default:"5s" help:"Length of each comparison and of the throughput measurement."`
	Sessions int           `default:"64" help:"Number of sessions that send statements without a pause in the throughput measurement."`
	Idle     int           `default:"10000" help:"Number of idle connections to open to the first entry."`
	Settle   time.Duration `default:"3s" help:"Time between opening idle connections and reading the memory of the instance."`
}

// Run prints the report as one JSON object.
func (c *speedCommand) Run(ctx context.Context) error {
	logins, err := c.logins()
	if err != nil {
		return err
	}
	var report speed.Report
	if report.Fresh, err = speed.Compare(ctx, logins.direct, logins.fresh[0], c.For); err != nil {
		return err
	}
	if report.Aged, err = speed.Compare(ctx, logins.direct, logins.aged[0], c.For); err != nil {
		return err
	}
	if report.Throughput, err = c.throughput(ctx, logins.aged); err != nil {
		return err
	}
	if report.Idle, err = c.idleMemory(ctx, logins.fresh[0]); err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

// loginSet holds the logins for the comparisons. Fresh and aged have one login per entry, on
// the route that requires the latest data and on the one that accepts old data.
type loginSet struct {
	direct      speed.Login
	fresh, aged []speed.Login
}

// logins returns the logins to the first service of the configuration.
func (c *speedCommand) logins() (loginSet, error) {
	var set loginSet
	config, err := readConfig(c.Config)
	if err != nil {
		return set, err
	}
	service := config.Services()[0]
	account := c.Account
	if account == "" {
		account = string(config.Accounts()[0].ID())
	}
	password, err := service.Password(os.LookupEnv)
	if err != nil {
		return set, err
	}
	set.direct = speed.Login{Address: service.Servers()[0].Address(), User: service.User(), Password: password, Database: service.Database()}
	for _, entry := range c.Entries {
		login := func(route string) speed.Login {
			return speed.Login{
				Address: entry, User: account, Password: demoKeyPrefix + account, Database: string(service.ID()),
				Params: map[string]string{"pomelofork.route": string(service.ID()) + route},
			}
		}
		set.fresh = append(set.fresh, login(".fresh"))
		set.aged = append(set.aged, login(".aged"))
	}
	return set, nil
}

// demoKeyPrefix is the prefix of the keys in the example configurations. A key is the prefix
// followed by the name of the account.
const demoKeyPrefix = "demo-"

// throughput measures the throughput of busy sessions and the processor time that the
// instances spend on it.
func (c *speedCommand) throughput(ctx context.Context, logins []speed.Login) (speed.Throughput, error) {
	report := speed.Throughput{Sessions: c.Sessions}
	pids, err := proc.PIDs(c.Dir, "entry-*")
	if err != nil {
		return report, err
	}
	before, err := proc.ReadAll(pids)
	if err != nil {
		return report, err
	}
	start := time.Now()
	count, err := speed.RunBusySessions(ctx, logins, c.Sessions, c.For)
	if err != nil {
		return report, err
	}
	elapsed := time.Since(start)
	after, err := proc.ReadAll(pids)
	if err != nil {
		return report, err
	}
	for _, process := range proc.Between(before, after, elapsed) {
		report.CoresOfInstances += process.CoreShare
	}
	report.StatementsPerS = float64(count) / elapsed.Seconds()
	report.StatementsPerCore = report.StatementsPerS / report.CoresOfInstances
	return report, nil
}

// idleSteps is the number of steps in which the idle connections are opened. Memory is read
// before the first step and after each.
const idleSteps = 4

// idleMemory measures the memory of the first instance while idle connections are opened.
func (c *speedCommand) idleMemory(ctx context.Context, login speed.Login) (speed.Memory, error) {
	var report speed.Memory
	pids, err := proc.PIDs(c.Dir, "entry-0")
	if err != nil {
		return report, err
	}
	pid, ok := pids["entry-0"]
	if !ok {
		return report, errors.New("no file entry-0.pid in the directory of process ids")
	}
	connections := &speed.IdleConns{}
	defer connections.Close(ctx)
	for step := range idleSteps + 1 {
		if err := connections.Grow(ctx, login, c.Idle*step/idleSteps-connections.Len()); err != nil {
			return report, fmt.Errorf("open idle connection %d: %w", connections.Len()+1, err)
		}
		time.Sleep(c.Settle)
		usage, err := proc.Read(pid)
		if err != nil {
			return report, err
		}
		report.Steps = append(report.Steps, speed.MemoryStep{Connections: connections.Len(), RSSBytes: usage.RSSBytes})
	}
	first, last := report.Steps[0], report.Steps[len(report.Steps)-1]
	report.BytesPerConnection = float64(last.RSSBytes-first.RSSBytes) / float64(last.Connections-first.Connections)
	return report, nil
}
