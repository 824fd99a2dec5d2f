// Command pomelofork runs an instance of the database proxy. Further commands validate
// configuration files, administer a running fleet, and report on its metrics and logs.
package main

import (
	"github.com/alecthomas/kong"
)

// version is what "pomelofork version" prints.
const version = "0.1.0"

// commandLine lists the commands. Every flag can be set by an environment variable
// that starts with POMELOFORK_, for example POMELOFORK_CALLER_LISTEN.
type commandLine struct {
	Serve    serveCommand    `cmd:"" help:"Run one instance until SIGTERM."`
	Platform platformCommand `cmd:"" help:"Run one instance on the platform that a settings file describes, until SIGTERM."`
	Check    checkCommand    `cmd:"" help:"Validate a configuration file without sending it."`
	Admin    adminCommand    `cmd:"" help:"Read and change the configuration of a running fleet."`
	Events   eventsCommand   `cmd:"" help:"Print the catalogue of the events that instances log."`
	Explain  explainCommand  `cmd:"" help:"Show what instances logged about one request."`
	Reasons  reasonsCommand  `cmd:"" help:"Count why operations were refused, from the logs of instances."`
	Report   reportCommand   `cmd:"" help:"Report on the metrics of a running fleet or on recorded metrics."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
}

func main() {
	var line commandLine
	context := kong.Parse(&line,
		kong.Name("pomelofork"),
		kong.Description("A database proxy with session consistency."),
		kong.DefaultEnvars("POMELOFORK"),
		kong.UsageOnError(),
	)
	context.FatalIfErrorf(context.Run())
}
