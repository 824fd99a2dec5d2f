package main

import (
	"errors"
	"time"
)

// errResendFlags is returned if only one of the flags is set that send a change again.
var errResendFlags = errors.New("--change-id and --expected-version must be set together")

// adminCommand holds the commands for operators of a fleet, and the flags that they share.
type adminCommand struct {
	Address         []string      `default:"127.0.0.1:7301" help:"Administration addresses of one or more instances. If one can't be reached, the next is tried."`
	Token           string        `help:"Token of the operator. Prefer the environment variable: other users of the machine can read flags."`
	Output          string        `default:"table" enum:"table,json" help:"Format of the output: table or json."`
	Wait            time.Duration `default:"0s" help:"How long to wait for a change to be in force at every instance. Zero doesn't wait."`
	ChangeID        string        `name:"change-id" help:"Identifier of a change to send again because its outcome is unknown."`
	ExpectedVersion *uint64       `help:"Configuration version that the change to send again was made against."`

	Config  adminConfigCommand  `cmd:"" help:"Show or replace the configuration."`
	Account adminAccountCommand `cmd:"" help:"List, add or remove client accounts."`
	Key     adminKeyCommand     `cmd:"" help:"Create, list or withdraw keys of client accounts."`
	Rate    adminRateCommand    `cmd:"" help:"Change the rate, burst or share of a client account."`
	Route   adminRouteCommand   `cmd:"" help:"List, add or remove routes."`
	Service adminServiceCommand `cmd:"" help:"List services and their backend servers."`
	Preset  adminPresetCommand  `cmd:"" help:"List and show presets, or put one in force."`
	Server  adminServerCommand  `cmd:"" help:"Drain backend servers or return them to use."`
	Domain  adminDomainCommand  `cmd:"" help:"List, evacuate or return failure domains."`
	Change  adminChangeCommand  `cmd:"" help:"Show at how many instances a change is in force."`
	Status  adminStatusCommand  `cmd:"" help:"Show which configuration version is in force at each instance."`
}

// Validate checks flags that depend on each other. Kong calls it and adds the name of the
// command to the error. A change is sent again with its original identifier and expected
// version, since with another version it would be a different change.
func (a *adminCommand) Validate() error {
	if (a.ChangeID == "") != (a.ExpectedVersion == nil) {
		return errResendFlags
	}
	return nil
}
