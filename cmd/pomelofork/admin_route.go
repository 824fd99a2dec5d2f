package main

import (
	"context"
	"fmt"
	"time"

	"pomelofork/core/conf"
	"pomelofork/core/model"
)

// adminRouteCommand holds the commands on routes.
type adminRouteCommand struct {
	List   routeListCommand   `cmd:"" help:"List the routes."`
	Add    routeAddCommand    `cmd:"" help:"Declare a route."`
	Remove routeRemoveCommand `cmd:"" help:"Remove a route."`
}

// routeListCommand lists the routes.
type routeListCommand struct{}

// Run prints one row a route.
func (*routeListCommand) Run(a *adminCommand) error {
	document, err := a.document(context.Background())
	if err != nil {
		return err
	}
	rows := [][]string{{"ROUTE", "SERVICE", "ACCESS", "MAX AGE", "IDEMPOTENT", "OPEN TO"}}
	for _, route := range document.Routes {
		open := "every account"
		if len(route.Accounts) > 0 {
			open = fmt.Sprint(route.Accounts)
		}
		if route.OpenToAll {
			open = "all"
		}
		age := time.Duration(route.MaxAgeMs) * time.Millisecond
		rows = append(rows, []string{string(route.ID), string(route.Service), route.Access, age.String(), fmt.Sprint(route.Idempotent), open})
	}
	return a.print(document.Routes, rows)
}

// routeAddCommand declares a route.
type routeAddCommand struct {
	Route      string        `arg:"" help:"Identifier of the route."`
	Service    string        `required:"" help:"Service where the route leads."`
	Access     string        `default:"read" enum:"read,write" help:"read or write."`
	MaxAge     time.Duration `help:"Age of data that a read accepts."`
	Idempotent bool          `help:"A request may be repeated."`
	OpenToAll  bool          `help:"Callers need no key of a named account."`
	ChargedTo  string        `help:"Account that pays for callers without a key on a route that is open to all."`
	Accounts   []string      `help:"Accounts that may use the route; none means every account."`
}

// Run makes the change.
func (c *routeAddCommand) Run(a *adminCommand) error {
	route := conf.RouteEntry{
		ID: model.RouteID(c.Route), Service: model.ServiceID(c.Service), Access: c.Access, MaxAgeMs: c.MaxAge.Milliseconds(),
		Idempotent: c.Idempotent, OpenToAll: c.OpenToAll, ChargedTo: model.AccountID(c.ChargedTo),
	}
	for _, account := range c.Accounts {
		route.Accounts = append(route.Accounts, model.AccountID(account))
	}
	return a.change(conf.Change{AddRoute: &conf.AddRoute{Route: route}})
}

// routeRemoveCommand removes a route.
type routeRemoveCommand struct {
	Route string `arg:"" help:"Identifier of the route."`
}

// Run makes the change.
func (c *routeRemoveCommand) Run(a *adminCommand) error {
	return a.change(conf.Change{RemoveRoute: &conf.RemoveRoute{Route: model.RouteID(c.Route)}})
}
