// Command pomelo-platform is the stand-in for the platform, for tests and the demo.
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

// headerTimeout bounds how long a connection may take to send a header.
const headerTimeout = 10 * time.Second

// flags are the settings of the stand-in.
type flags struct {
	Listen string `default:"127.0.0.1:7400" env:"POMELO_PLATFORM_LISTEN" help:"Address to listen on."`
	Seed   uint64 `default:"1" env:"POMELO_PLATFORM_SEED" help:"Seed that chooses which answers get lost."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("pomelo-platform"), kong.Description("Stand-in for the platform's key-value service and list of instances."))
	if err := run(f); err != nil {
		slog.Error("stopped", slog.String("error", err.Error()))
		os.Exit(1)
	}
}

// run serves until a signal comes.
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
