package main

import (
	"errors"
	"io"
	"log/slog"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/alecthomas/kong"

	"pomelofork/core/conf"
	"pomelofork/core/model"
	"pomelofork/io/admin"
	"pomelofork/io/store/memkv"
)

const testToken = "token-of-this-test"

// testFleet is an instance's administration API, backed by a store in memory.
type testFleet struct {
	kv      *memkv.KV
	address string

	mu      sync.Mutex
	tracker *conf.Tracker
}

// newTestFleet serves the administration API over an empty store until the test ends.
func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	f := &testFleet{kv: memkv.New(memkv.Config{}), tracker: conf.NewTracker(conf.TrackerConfig{})}
	operators, err := admin.ParseOperators(conf.HashKey(testToken))
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(admin.New(admin.Config{
		Store: f.kv, Operators: operators, Timeout: 50 * time.Millisecond, Now: time.Now,
		Current: f.current, OnConfig: f.offer, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Versions: func() map[model.InstanceID]uint64 { return map[model.InstanceID]uint64{"e": f.current().Version()} },
	}))
	t.Cleanup(server.Close)
	f.address = server.URL
	return f
}

func (f *testFleet) current() *conf.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Current()
}

func (f *testFleet) offer(config *conf.Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.Offer(config)
}

// run parses and runs one command line and returns its exit status. It adds the address and
// the token to administration commands.
func (f *testFleet) run(t *testing.T, arguments ...string) int {
	t.Helper()
	var line commandLine
	parser, err := kong.New(&line, kong.Name("pomelofork"), kong.DefaultEnvars("POMELOFORK"))
	if err != nil {
		t.Fatal(err)
	}
	if arguments[0] == "admin" {
		arguments = append([]string{"admin", "--address", f.address, "--token", testToken}, arguments[1:]...)
	}
	context, err := parser.Parse(arguments)
	if err == nil {
		err = context.Run()
	}
	coder := kong.ExitCoder(nil)
	switch {
	case err == nil:
		return 0
	case errors.As(err, &coder):
		return coder.ExitCode()
	}
	t.Log(err)
	return 1
}

// step is one command line and its expected exit status.
type step struct {
	arguments []string
	status    int
}

func TestAdminCommands(t *testing.T) {
	f := newTestFleet(t)
	const file = "../../examples/slamka.json"
	for _, s := range []step{
		{[]string{"admin", "preset", "list"}, exitNotFound},
		{[]string{"admin", "config", "replace", file}, 0},
		{[]string{"admin", "preset", "list"}, 0},
		{[]string{"admin", "preset", "use", "peak", "--wait", "10s"}, 0},
		{[]string{"admin", "preset", "use", "none"}, exitInvalid},
		{[]string{"admin", "preset", "show", "none"}, exitNotFound},
		{[]string{"admin", "config", "replace", file}, exitConflict},
		{[]string{"admin", "--token", "x", "status"}, exitUnauthorised},
		{[]string{"admin", "--output", "json", "status"}, 0},
		{[]string{"admin", "account", "add", "new", "--rate", "10", "--burst", "5"}, 0},
		{[]string{"admin", "rate", "new", "--burst", "0"}, exitInvalid},
		{[]string{"admin", "key", "give", "new"}, 0},
		{[]string{"admin", "key", "withdraw", "showcase", string(conf.IDOfKey("demo-showcase"))}, 0},
		{[]string{"admin", "key", "list", "nobody"}, exitNotFound},
		{[]string{"admin", "route", "add", "r", "--service", "none"}, exitInvalid},
		{[]string{"admin", "server", "drain", "straw-ledger-1-a"}, 0},
		{[]string{"admin", "server", "return", "straw-ledger-1-a"}, 0},
		{[]string{"admin", "domain", "return", "sk-central-a"}, exitInvalid},
		{[]string{"admin", "domain", "evacuate", "sk-central-a", "--wait", "10s"}, 0},
		{[]string{"admin", "domain", "list"}, 0},
		{[]string{"admin", "domain", "return", "sk-central-a"}, 0},
		{[]string{"admin", "change", "none"}, exitNotFound},
		{[]string{"admin", "--change-id", "x", "preset", "use", "peak"}, 80},
		{[]string{"admin", "none"}, 80},
		{[]string{"check", file}, 0},
		{[]string{"check", "none.json"}, 80},
	} {
		if status := f.run(t, s.arguments...); status != s.status {
			t.Errorf("%v: status %d, want %d", s.arguments, status, s.status)
		}
	}
	if account, _ := f.current().Account("showcase"); account.KeyState(conf.IDOfKey("demo-showcase")) != conf.KeyWithdrawn {
		t.Error("the withdrawn key of account showcase is not in state withdrawn")
	}
}

func TestAdminResendsChange(t *testing.T) {
	f := newTestFleet(t)
	if status := f.run(t, "admin", "config", "replace", "../../examples/slamka.json"); status != 0 {
		t.Fatal(status)
	}
	resend := []string{"admin", "--change-id", "c1", "--expected-version", "1", "preset", "use", "peak"}
	f.kv.SetFaults(memkv.Faults{LoseAnswer: func(call string) bool { return call == memkv.CallSwap }})
	if status := f.run(t, resend...); status != exitOutcomeUnknown {
		t.Errorf("store loses the answer: status %d, want exitOutcomeUnknown", status)
	}
	f.kv.SetFaults(memkv.Faults{Outage: true})
	if status := f.run(t, "admin", "preset", "use", "ordinary"); status != exitUnavailable {
		t.Errorf("store unavailable: status %d, want exitUnavailable", status)
	}
	f.kv.SetFaults(memkv.Faults{})
	if status := f.run(t, resend...); status != 0 {
		t.Errorf("change sent again: status %d, want 0", status)
	}
	if config := f.current(); config.Version() != 2 || config.Preset() != "peak" {
		t.Errorf("configuration has version %d and preset %s, want version 2 and preset peak", config.Version(), config.Preset())
	}
}

func TestCheckRejectsInvalidFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.json")
	if err := os.WriteFile(path, []byte(`{"format": 1}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if status := newTestFleet(t).run(t, "check", path); status != exitInvalid {
		t.Errorf("status %d, want exitInvalid", status)
	}
}
