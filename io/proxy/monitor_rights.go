package proxy

import (
	"slices"

	"pomelofork/core/plan"
	"pomelofork/io/right"
)

// setApart makes the right to monitor a service's primary avoid the failure domain of the primary,
// and prefer that of the first replica elsewhere, if possible in one that isn't evacuated. The loss of
// a domain would otherwise take the monitor together with the primary, and nobody would check the
// primary until the lease of the monitor has ended. Without a primary the right stays where it is, because its holder is having
// another server promoted.
func setApart(spec *right.Spec, servers []plan.Server) {
	primary, ok := servedBy(servers)
	if !ok {
		return
	}
	spec.Avoid = primary.Domain
	elsewhere := func(s plan.Server) bool { return !s.Primary && s.Domain != spec.Avoid }
	i := slices.IndexFunc(servers, func(s plan.Server) bool { return elsewhere(s) && !s.Evacuated() })
	if i < 0 {
		i = slices.IndexFunc(servers, elsewhere)
	}
	if i >= 0 {
		spec.Domain = servers[i].Domain
	}
}

// servedBy returns the primary among the servers of a service: the one with the latest report, if
// several report the role.
func servedBy(servers []plan.Server) (primary plan.Server, ok bool) {
	for _, s := range servers {
		if s.Primary && (!ok || s.Revision > primary.Revision) {
			primary, ok = s, true
		}
	}
	return primary, ok
}
