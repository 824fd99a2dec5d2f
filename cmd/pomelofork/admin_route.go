package main

import (
	"context"
	"fmt"
	"time"

	"pomelofork/core/conf"
	"pomelofork/core/model"
)

// adminRouteCommand holds the commands that list and change routes.
type adminRouteCommand struct {
	List   routeListCommand   `cmd:"" help:"List the routes."`
	Add    routeAddCommand    `cmd:"" help:"Declare a route."`
	Remove routeRemoveCommand `cmd:"" help:"Remove a route."`
}

// routeListCommand lists the routes.
type routeListCommand struct{}

// Run prints one row per route.
func (*routeListCommand) Run(a *adminCommand) error {
	document, err := a.document(context.Background())
	if err != nil {
		return err
	}
	rows := [][]string{{"ROUTE", "SERVICE", "ACCESS", "MAX AGE", "IDEMPOTENT", "OPEN TO"}}
	for _, route := range document.Routes {
		openTo := "every account"
		if len(route.Accounts) > 0 {
			openTo = fmt.Sprint(route.Accounts)
		}
		if route.OpenToAll {
			openTo = "all"
		}
		maxAge := time.Duration(route.MaxAgeMs) * time.Millisecond
		rows = append(rows, []string{string(route.ID), string(route.Service), route.Access, maxAge.String(), fmt.Sprint(route.Idempotent), openTo})
	}
	return a.print(document.Routes, rows)
}

// routeAddCommand declares a route.
type routeAddCommand struct {
	Route      string        `arg:"" help:"Identifier of the route."`
	Service    string        `required:"" help:"Service that runs the requests of the route."`
	Access     string        `default:"read" enum:"read,write" help:"Kind of requests on the route: read or write."`
	MaxAge     time.Duration `help:"Maximum age of the data that a read may return. Zero requires the latest data."`
	Idempotent bool          `help:"Requests may be run more than once."`
	OpenToAll  bool          `help:"Callers need no key of a listed account."`
	ChargedTo  string        `help:"Account whose tokens callers without a key use, on a route that is open to all."`
	Accounts   []string      `help:"Accounts that may use the route. If none is listed, every account may."`
}

// Run sends the change to the fleet.
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

// Run sends the change to the fleet.
func (c *routeRemoveCommand) Run(a *adminCommand) error {
	return a.change(conf.Change{RemoveRoute: &conf.RemoveRoute{Route: model.RouteID(c.Route)}})
}
