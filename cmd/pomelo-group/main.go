// Command pomelo-group runs an emulator of one group of backend servers: a primary and its
// replicas, each behind its own port, and an HTTP interface that controls their faults.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"pomelofork/core/model"
	"pomelofork/emul/pgsim"
)

// settings holds the command-line flags.
type settings struct {
	Service       string        `required:"" help:"Name of the service. The servers are called SERVICE-0 to SERVICE-2."`
	Listen        string        `default:"127.0.0.1:7500" help:"Address of the first server. The others use the next two ports."`
	Control       string        `default:"127.0.0.1:7600" help:"Address of the HTTP interface that controls the servers."`
	Slots         int           `default:"2" help:"Number of statements that one server runs concurrently."`
	Connections   int           `default:"16" help:"Number of connections that one server accepts."`
	ConnectCost   time.Duration `default:"10ms" help:"Time that a server needs to accept a new connection."`
	StatementCost time.Duration `default:"1ms" help:"Time for which a statement occupies its slot."`
	ReceiveLag    time.Duration `default:"1ms" help:"Time from a commit until a replica has received it."`
	ApplyLag      time.Duration `default:"1ms" help:"Time from the receipt of a commit until reads of the replica see it."`
	User          string        `help:"The only user that may log in. If empty, every user may."`
	Password      string        `env:"POMELO_GROUP_PASSWORD" help:"Password of the user."`
}

func main() {
	var s settings
	kong.Parse(&s, kong.Name("pomelo-group"), kong.Description("Emulator of one group of backend servers."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, s); err != nil {
		fmt.Fprintln(os.Stderr, "pomelo-group:", err)
		os.Exit(1)
	}
}

// run serves the group until ctx is cancelled or the control interface fails.
func run(ctx context.Context, s settings) error {
	if s.Slots < 1 || s.Connections < 1 {
		return errors.New("--slots and --connections must be at least 1")
	}
	group, err := pgsim.New(pgsim.Config{
		Service: model.ServiceID(s.Service), Listen: s.Listen,
		Slots: s.Slots, Connections: s.Connections,
		ConnectCost: s.ConnectCost, StatementCost: s.StatementCost,
		ReceiveLag: s.ReceiveLag, ApplyLag: s.ApplyLag,
		User: s.User, Password: s.Password,
	})
	if err != nil {
		return err
	}
	defer group.Close()
	for _, id := range group.IDs() {
		address, _ := group.Address(id)
		slog.Info("backend server is listening", "server", string(id), "address", address)
	}
	control := &http.Server{Addr: s.Control, Handler: group.Control(), ReadHeaderTimeout: time.Second}
	failed := make(chan error, 1)
	go func() { failed <- control.ListenAndServe() }()
	select {
	case err := <-failed:
		return fmt.Errorf("control interface: %w", err)
	case <-ctx.Done():
		return control.Close()
	}
}
