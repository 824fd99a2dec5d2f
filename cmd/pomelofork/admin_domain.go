package main

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"pomelofork/core/conf"
	"pomelofork/core/model"
)

// adminDomainCommand holds the commands that list failure domains, evacuate them and return them to use.
type adminDomainCommand struct {
	List     domainListCommand     `cmd:"" help:"List the failure domains of backend servers."`
	Evacuate domainEvacuateCommand `cmd:"" help:"Stop giving new work to the backend servers in a failure domain."`
	Return   domainReturnCommand   `cmd:"" help:"Give new work to the backend servers in an evacuated failure domain again."`
}

// domainStatus is a failure domain as domainListCommand prints it.
type domainStatus struct {
	Domain    model.Domain `json:"domain"`
	Servers   int          `json:"servers"`
	Evacuated bool         `json:"evacuated"`
}

// domainListCommand lists the failure domains.
type domainListCommand struct{}

// Run prints one row per failure domain that has backend servers or is evacuated.
func (*domainListCommand) Run(a *adminCommand) error {
	document, err := a.document(context.Background())
	if err != nil {
		return err
	}
	statuses := domainStatuses(&document)
	rows := [][]string{{"FAILURE DOMAIN", "BACKEND SERVERS", "STATE"}}
	for _, s := range statuses {
		state := "in use"
		if s.Evacuated {
			state = "evacuated"
		}
		rows = append(rows, []string{string(s.Domain), fmt.Sprint(s.Servers), state})
	}
	return a.print(statuses, rows)
}

// domainStatuses returns the failure domains of a configuration, sorted by name.
func domainStatuses(document *conf.Document) []domainStatus {
	servers := map[model.Domain]int{}
	for _, domain := range document.EvacuatedDomains {
		servers[domain] = 0
	}
	for _, service := range document.Services {
		for _, server := range service.Servers {
			servers[server.FailureDomain]++
		}
	}
	statuses := make([]domainStatus, 0, len(servers))
	for _, domain := range slices.Sorted(maps.Keys(servers)) {
		statuses = append(statuses, domainStatus{domain, servers[domain], slices.Contains(document.EvacuatedDomains, domain)})
	}
	return statuses
}

// domainEvacuateCommand evacuates a failure domain.
type domainEvacuateCommand struct {
	Domain string `arg:"" help:"Name of the failure domain."`
}

// Run sends the change to the fleet.
func (c *domainEvacuateCommand) Run(a *adminCommand) error {
	return a.change(conf.Change{EvacuateDomain: &conf.EvacuateDomain{Domain: model.Domain(c.Domain)}})
}

// domainReturnCommand returns an evacuated failure domain to use.
type domainReturnCommand struct {
	Domain string `arg:"" help:"Name of the failure domain."`
}

// Run sends the change to the fleet.
func (c *domainReturnCommand) Run(a *adminCommand) error {
	return a.change(conf.Change{ReturnDomain: &conf.ReturnDomain{Domain: model.Domain(c.Domain)}})
}
