package main

import "time"

// adminCommand holds the operator's commands.
type adminCommand struct {
	Address  []string      `default:"127.0.0.1:7301" help:"Administration ports of one or more instances."`
	Token    string        `help:"Token of the operator; better set by the environment."`
	Output   string        `default:"table" enum:"table,json" help:"Form of the output: table or json."`
	Wait     time.Duration `default:"0s" help:"How long to wait until a change is in force at every instance."`
	ChangeID string        `name:"change-id" help:"Identifier of the change, to send one again whose answer is not known."`

	Config  adminConfigCommand  `cmd:"" help:"Show or replace the configuration."`
	Account adminAccountCommand `cmd:"" help:"Client accounts."`
	Key     adminKeyCommand     `cmd:"" help:"Keys of client accounts."`
	Rate    adminRateCommand    `cmd:"" help:"Change rate, burst or share of a client account."`
	Route   adminRouteCommand   `cmd:"" help:"Routes."`
	Service adminServiceCommand `cmd:"" help:"Services."`
	Preset  adminPresetCommand  `cmd:"" help:"Presets."`
	Server  adminServerCommand  `cmd:"" help:"Backend servers."`
	Change  adminChangeCommand  `cmd:"" help:"Show how far a change is in force."`
	Status  adminStatusCommand  `cmd:"" help:"Show which version is in force where."`
}
