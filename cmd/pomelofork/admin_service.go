package main

import (
	"context"
	"fmt"
	"slices"

	"pomelofork/core/conf"
	"pomelofork/core/model"
)

// adminServiceCommand holds the command that lists services.
type adminServiceCommand struct {
	List serviceListCommand `cmd:"" help:"List the services and their backend servers."`
}

// serviceListCommand lists the services.
type serviceListCommand struct{}

// Run prints one row per backend server.
func (*serviceListCommand) Run(a *adminCommand) error {
	document, err := a.document(context.Background())
	if err != nil {
		return err
	}
	rows := [][]string{{"SERVICE", "BACKEND SERVER", "ADDRESS", "FAILURE DOMAIN", "SLOTS", "CONNECTIONS", "STATE"}}
	for i := range document.Services {
		// Only config show prints the passwords of services.
		document.Services[i].Password = ""
		service := document.Services[i]
		for _, server := range service.Servers {
			state := "in use"
			switch {
			case server.Draining:
				state = "draining"
			case slices.Contains(document.EvacuatedDomains, server.FailureDomain):
				state = "evacuated"
			}
			rows = append(rows, []string{
				string(service.ID), string(server.ID), server.Address, string(server.FailureDomain),
				fmt.Sprint(server.Slots), fmt.Sprint(server.Connections), state,
			})
		}
	}
	return a.print(document.Services, rows)
}

// adminServerCommand holds the commands that drain backend servers and return them to use.
type adminServerCommand struct {
	Drain  serverDrainCommand  `cmd:"" help:"Stop giving new work to a backend server."`
	Return serverReturnCommand `cmd:"" help:"Give new work to a drained backend server again."`
}

// serverDrainCommand drains a backend server.
type serverDrainCommand struct {
	Server string `arg:"" help:"Identifier of the backend server."`
}

// Run sends the change to the fleet.
func (c *serverDrainCommand) Run(a *adminCommand) error {
	return a.change(conf.Change{DrainServer: &conf.DrainServer{Server: model.ServerID(c.Server)}})
}

// serverReturnCommand returns a drained backend server to use.
type serverReturnCommand struct {
	Server string `arg:"" help:"Identifier of the backend server."`
}

// Run sends the change to the fleet.
func (c *serverReturnCommand) Run(a *adminCommand) error {
	return a.change(conf.Change{ReturnServer: &conf.ReturnServer{Server: model.ServerID(c.Server)}})
}
