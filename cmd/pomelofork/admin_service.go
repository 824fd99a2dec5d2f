package main

import (
	"context"
	"fmt"

	"pomelofork/core/conf"
	"pomelofork/core/model"
)

// adminServiceCommand holds the commands on services.
type adminServiceCommand struct {
	List serviceListCommand `cmd:"" help:"List the services and their backend servers."`
}

// serviceListCommand lists the services.
type serviceListCommand struct{}

// Run prints one row a backend server.
func (*serviceListCommand) Run(a *adminCommand) error {
	document, err := a.document(context.Background())
	if err != nil {
		return err
	}
	rows := [][]string{{"SERVICE", "BACKEND SERVER", "ADDRESS", "FAILURE DOMAIN", "SLOTS", "CONNECTIONS", "STATE"}}
	for i := range document.Services {
		// Passwords are for the document alone.
		document.Services[i].Password = ""
		service := document.Services[i]
		for _, server := range service.Servers {
			state := "in use"
			if server.Draining {
				state = "draining"
			}
			rows = append(rows, []string{
				string(service.ID), string(server.ID), server.Address, string(server.FailureDomain),
				fmt.Sprint(server.Slots), fmt.Sprint(server.Connections), state,
			})
		}
	}
	return a.print(document.Services, rows)
}

// adminServerCommand holds the commands on backend servers.
type adminServerCommand struct {
	Drain  serverDrainCommand  `cmd:"" help:"Give a backend server no new work."`
	Return serverReturnCommand `cmd:"" help:"Give a drained backend server new work again."`
}

// serverDrainCommand drains a server.
type serverDrainCommand struct {
	Server string `arg:"" help:"Identifier of the backend server."`
}

// Run makes the change.
func (c *serverDrainCommand) Run(a *adminCommand) error {
	return a.change(conf.Change{DrainServer: &conf.DrainServer{Server: model.ServerID(c.Server)}})
}

// serverReturnCommand returns a server.
type serverReturnCommand struct {
	Server string `arg:"" help:"Identifier of the backend server."`
}

// Run makes the change.
func (c *serverReturnCommand) Run(a *adminCommand) error {
	return a.change(conf.Change{ReturnServer: &conf.ReturnServer{Server: model.ServerID(c.Server)}})
}
