package main

import (
	"context"
	"fmt"
	"strings"
)

// adminStatusCommand shows the configuration version in force at each instance.
type adminStatusCommand struct{}

// Run prints one row per instance.
func (*adminStatusCommand) Run(a *adminCommand) error {
	fleet, err := a.client().Fleet(context.Background())
	if err != nil {
		return withStatus(err)
	}
	rows := [][]string{{"INSTANCE", "VERSION"}}
	for _, instance := range fleet.Instances {
		rows = append(rows, []string{string(instance.ID), fmt.Sprint(instance.Version)})
	}
	return a.print(fleet, rows)
}

// adminChangeCommand shows one change of the configuration.
type adminChangeCommand struct {
	Change string `arg:"" help:"Identifier of the change."`
}

// Run prints the record of the change and the instances at which it is not yet in force.
func (c *adminChangeCommand) Run(a *adminCommand) error {
	status, err := a.client().ChangeStatus(context.Background(), c.Change)
	if err != nil {
		return withStatus(err)
	}
	behind := []string{}
	for _, id := range status.Behind {
		behind = append(behind, string(id))
	}
	return a.print(status, [][]string{
		{"CHANGE", "KIND", "OPERATOR", "VERSION", "IN FORCE", "BEHIND"},
		{
			status.Change.ID, status.Change.Kind, status.Change.Operator, fmt.Sprint(status.Change.Version),
			fmt.Sprintf("%d of %d", status.InForce, status.Instances), strings.Join(behind, " "),
		},
	})
}
