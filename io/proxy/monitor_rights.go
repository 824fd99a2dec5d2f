package proxy

import (
	"slices"

	"pomelofork/core/plan"
	"pomelofork/io/right"
)

// setApart makes the right to monitor a service's primary avoid the failure domain of the primary,
// and prefer that of a replica elsewhere. The loss of a domain would otherwise take the
// monitor together with the primary, and nobody would check the primary until the lease of the
// monitor has ended. Without a primary the right stays where it is, because its holder is having
// another server promoted.
func setApart(spec *right.Spec, servers []plan.Server) {
	primary, ok := servedBy(servers)
	if !ok {
		return
	}
	spec.Avoid = primary.Domain
	elsewhere := slices.DeleteFunc(slices.Clone(servers), func(s plan.Server) bool { return s.Primary || s.Domain == spec.Avoid })
	if spec.Domain != spec.Avoid || len(elsewhere) == 0 {
		return
	}
	spec.Domain = elsewhere[0].Domain
	if i := slices.IndexFunc(elsewhere, func(s plan.Server) bool { return !s.Evacuated() }); i >= 0 {
		spec.Domain = elsewhere[i].Domain
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
