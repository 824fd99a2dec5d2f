package main

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"pomelofork/core/admit"
	"pomelofork/core/model"
	"pomelofork/io/certs"
	"pomelofork/io/node"
	"pomelofork/io/sock"
)

// serveCommand runs one instance of the proxy.
type serveCommand struct {
	ID            string   `name:"id" required:"" help:"Name of this instance."`
	FailureDomain string   `required:"" help:"Failure domain of this instance."`
	CallerListen  string   `default:"127.0.0.1:7001" help:"Address for callers (PostgreSQL protocol)."`
	LinkListen    string   `default:"127.0.0.1:7101" help:"Address for streams of units of work from other instances."`
	PeerListen    string   `default:"127.0.0.1:7201" help:"Address for calls from other instances (net/rpc)."`
	AdminListen   string   `default:"127.0.0.1:7301" help:"Address for operators and the load balancer (HTTP)."`
	Platform      string   `default:"http://127.0.0.1:7400" help:"Base URL of the platform's key-value service."`
	Seeds         []string `help:"Peer addresses of other instances, through which this one can start while the platform's service is down."`
	FleetSecret   string   `default:"" help:"Secret with which instances authenticate to each other. Prefer the environment variable: other users of the machine can read flags."`
	OperatorToken string   `default:"" help:"SHA-256 of the operators' token in hexadecimal digits. If empty, changes are refused."`

	CallerCert string `type:"existingfile" help:"Certificate chain presented to callers (PEM). It is read again when the file changes."`
	CallerKey  string `type:"existingfile" help:"Private key of the certificate for callers (PEM)."`
	RequireTLS bool   `help:"Refuse callers without TLS."`
	FleetCert  string `type:"existingfile" help:"Certificate chain presented to other instances (PEM)."`
	FleetKey   string `type:"existingfile" help:"Private key of the certificate for other instances (PEM)."`
	FleetCA    string `type:"existingfile" help:"Certificates of the authorities that sign the instances' certificates (PEM)."`

	ConfigFreshness time.Duration `default:"8s" help:"How long to serve without confirmation that the configuration is current."`
	UnreadyPause    time.Duration `default:"500ms" help:"Time between reporting unready and accepting no more callers, so that the load balancer learns of it first."`
	DrainTimeout    time.Duration `default:"30s" help:"Time limit of a planned stop."`
	LogLevel        slog.Level    `default:"info" help:"Lowest level that is logged: debug, info, warn or error."`
}

// Validate checks the ranges of flags, and flags that depend on each other. Kong calls it and
// adds the name of the command to the error.
func (c *serveCommand) Validate() error {
	for name, value := range map[string]time.Duration{
		"--config-freshness": c.ConfigFreshness, "--drain-timeout": c.DrainTimeout,
	} {
		if value <= 0 {
			return fmt.Errorf("%s must be a duration above zero, got %s", name, value)
		}
	}
	if (c.CallerCert == "") != (c.CallerKey == "") {
		return errors.New("--caller-cert and --caller-key must be set together")
	}
	if c.RequireTLS && c.CallerCert == "" {
		return errors.New("--require-tls needs --caller-cert and --caller-key")
	}
	if files := []string{c.FleetCert, c.FleetKey, c.FleetCA}; slices.Contains(files, "") && strings.Join(files, "") != "" {
		return errors.New("--fleet-cert, --fleet-key and --fleet-ca must be set together")
	}
	if c.UnreadyPause < 0 {
		return fmt.Errorf("--unready-pause must not be negative, got %s", c.UnreadyPause)
	}
	return nil
}

// Run serves until SIGTERM or an interrupt, which begin the planned stop. A second signal
// ends the process immediately.
func (c *serveCommand) Run() error {
	logger := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: c.LogLevel})).
		With(slog.String("instance", c.ID))
	config, err := c.config(logger)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	running, err := node.New(config)
	if err != nil {
		return err
	}
	awaitStop(signals, logger)
	running.Stop()
	return nil
}

// awaitStop returns when a signal asks the instance to stop. Further signals don't shorten the stop, since
// callers have work at the instance.
func awaitStop(signals <-chan os.Signal, logger *slog.Logger) {
	for s := range signals {
		if s != syscall.SIGHUP {
			return
		}
		logger.Info("SIGHUP ignored: settings are flags, and certificates are read again when their files change")
	}
}

// config returns the settings of the instance with its listeners open and its certificates
// loaded.
func (c *serveCommand) config(logger *slog.Logger) (node.Config, error) {
	config := node.Config{
		ID: model.InstanceID(c.ID), Domain: model.Domain(c.FailureDomain), PlatformURL: c.Platform, Seeds: c.Seeds,
		FleetSecret: c.FleetSecret, OperatorTokenHash: c.OperatorToken,
		ConfigFreshness: c.ConfigFreshness, UnreadyPause: c.UnreadyPause, DrainTimeout: c.DrainTimeout,
		RequireTLS: c.RequireTLS, Logger: logger,
	}
	if err := c.certificates(&config); err != nil {
		return config, err
	}
	descriptors, err := sock.MaxDescriptors()
	if err != nil {
		return config, fmt.Errorf("reading the limit of descriptors: %w", err)
	}
	config.Limit = admit.NewLimit(descriptors)
	var errs []error
	for _, l := range []struct {
		flag, address string
		target        *net.Listener
	}{
		{"--caller-listen", c.CallerListen, &config.CallerListener},
		{"--link-listen", c.LinkListen, &config.LinkListener},
		{"--peer-listen", c.PeerListen, &config.PeerListener},
		{"--admin-listen", c.AdminListen, &config.AdminListener},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", l.flag, err))
			continue
		}
		*l.target = listener
	}
	return config, errors.Join(errs...)
}

// certificates loads the certificates for callers and for other instances, where the flags
// name them.
func (c *serveCommand) certificates(config *node.Config) error {
	if c.CallerCert != "" {
		source, err := certs.NewSource(certs.Config{CertFile: c.CallerCert, KeyFile: c.CallerKey, Now: time.Now})
		if err != nil {
			return err
		}
		config.CallerTLS = source.ServerConfig()
	}
	if c.FleetCert != "" {
		source, err := certs.NewSource(certs.Config{CertFile: c.FleetCert, KeyFile: c.FleetKey, CAFile: c.FleetCA, Now: time.Now})
		if err != nil {
			return err
		}
		config.FleetTLS = source.FleetConfig()
	}
	return nil
}
