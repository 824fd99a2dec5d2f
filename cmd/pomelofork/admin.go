package main

import (
	"errors"
	"time"
)

// errAgain says which flags send a change again.
var errAgain = errors.New("--change-id and --expected-version: want both or none")

// adminCommand holds the operator's commands.
type adminCommand struct {
	Address         []string      `default:"127.0.0.1:7301" help:"Administration ports of one or more instances."`
	Token           string        `help:"Token of the operator; better set by the environment."`
	Output          string        `default:"table" enum:"table,json" help:"Form of the output: table or json."`
	Wait            time.Duration `default:"0s" help:"How long to wait until a change is in force at every instance."`
	ChangeID        string        `name:"change-id" help:"Identifier of a change to send again, because its answer is not known."`
	ExpectedVersion *uint64       `help:"Version that the change to send again was made to."`

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

// Validate checks what types can't say. Kong calls it and names the command. A change
// that is sent again under another version would be another change.
func (a *adminCommand) Validate() error {
	if (a.ChangeID == "") != (a.ExpectedVersion == nil) {
		return errAgain
	}
	return nil
}
