package proxy

import (
	"fmt"
	"maps"
	"slices"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/quota"
	"pomelofork/io/right"
	"pomelofork/io/view"
)

// wantedRights returns the rights that some instance should hold.
func (n *Node) wantedRights(s *view.State) []right.Spec {
	return n.rightsCache.get(s.ChangeCounts.Servers+s.ChangeCounts.Plan, func() []right.Spec { return findWantedRights(s, n.config.ToleratedDomains > 0) })
}

// findWantedRights computes the result of wantedRights. apart says that rights have to be kept apart
// from the failure domain of what they are for, also if they were acquired before that was known.
func findWantedRights(s *view.State, apart bool) []right.Spec {
	var wanted []right.Spec
	domains := map[model.Domain]bool{}
	servers := knownServers(s)
	for _, server := range servers {
		domains[server.Domain] = true
	}
	removeEvacuated(domains, s)
	order := slices.Sorted(maps.Keys(domains))
	for group := range accountGroups {
		for issuer := range quota.MaxIssuers {
			spec := right.Spec{Name: issuerRight(group, issuer), SpreadGroup: fmt.Sprintf("rate-%d", group), SpreadDomains: apart}
			if len(order) > 0 {
				spec.Domain = order[(group+issuer)%len(order)]
			}
			wanted = append(wanted, spec)
		}
	}
	// A primary is monitored from another failure domain, that of its first replica. An
	// instance that is cut off together with the primary could not have another server
	// promoted.
	first := map[model.ServiceID]plan.Server{}
	for _, server := range servers {
		chosen, ok := first[server.Service]
		if !ok || monitoredBefore(server, chosen) {
			first[server.Service] = server
		}
	}
	for service, server := range first {
		spec := right.Spec{Name: monitorRight(service), Domain: server.Domain, NonUrgent: true}
		if apart {
			setApart(&spec, s.Services[service])
		}
		wanted = append(wanted, spec)
	}
	return wanted
}

// knownServers returns the servers of the services that the configuration names. The entry of another one
// would otherwise have its service monitored, and promotions called for.
func knownServers(s *view.State) []plan.Server {
	known, servers := map[model.ServiceID]bool{}, make([]plan.Server, 0, len(s.Servers))
	for _, server := range s.Servers {
		if _, ok := known[server.Service]; !ok {
			known[server.Service] = s.Plan != nil && s.Plan.Knows(server.Service)
		}
		if known[server.Service] {
			servers = append(servers, server)
		}
	}
	return servers
}

// monitorRightPrefix is the prefix of the names of the rights to monitor a primary.
const monitorRightPrefix = "lead-"

// monitorRight names the right to monitor a service's primary and have another server
// promoted.
func monitorRight(service model.ServiceID) string { return monitorRightPrefix + string(service) }
