// Command pomelo-platform emulates the platform's key-value service and its list of
// instances, for tests, the demo and the experiments. It keeps everything in memory.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"pomelofork/emul/plat"
)

// headerTimeout bounds how long a client may take to send the header of a request.
const headerTimeout = 10 * time.Second

// flags holds the command-line flags.
type flags struct {
	Listen string `default:"127.0.0.1:7400" env:"POMELO_PLATFORM_LISTEN" help:"Address to listen on."`
	Seed   uint64 `default:"1" env:"POMELO_PLATFORM_SEED" help:"Seed of the choice of lost answers, for the fault that loses a share of all answers."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("pomelo-platform"), kong.Description("Emulator of the platform's key-value service and list of instances."))
	if err := run(f); err != nil {
		slog.Error("stopped", slog.String("error", err.Error()))
		os.Exit(1)
	}
}

// run serves until SIGTERM or an interrupt.
func run(f flags) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	listener, err := net.Listen("tcp", f.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: plat.New(plat.Config{Seed: f.Seed}), ReadHeaderTimeout: headerTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	slog.Info("listening", slog.String("address", listener.Addr().String()))
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
