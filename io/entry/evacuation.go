package entry

import (
	"slices"
	"time"

	"pomelofork/core/evac"
	"pomelofork/core/model"
	"pomelofork/core/place"
	"pomelofork/core/plan"
)

// evacuatedText says why a transaction is ended whose server is in an evacuated failure domain.
const evacuatedText = "failure domain of the server is evacuated"

// scope says among which servers of a service one is chosen.
type scope struct {
	// withSuspected includes those that are suspected of having failed.
	withSuspected bool
	// withMoving includes those in evacuated failure domains, as long as they may take anything.
	// Without it, only the share of the reads goes there that number is in.
	withMoving bool
	number     uint64
}

// scopes returns the scopes in which a server is looked for, the preferred one first. A server in an
// evacuated domain that isn't suspected goes before a suspected one, whose statements may fail.
func (e *Entry) scopes(service model.ServiceID) []scope {
	if !slices.ContainsFunc(e.config.View.State().Services[service], plan.Server.Evacuated) {
		return []scope{{}, {withSuspected: true}}
	}
	number := e.placed.Add(1)
	return []scope{{number: number}, {withMoving: true}, {withSuspected: true, number: number}, {withSuspected: true, withMoving: true}}
}

// mayPlace reports whether the evacuation of the server's failure domain, if it is evacuated, allows a
// new statement there. The work of a primary stays with it until the domain is closed.
func (e *Entry) mayPlace(now time.Time, required place.Requirement, server plan.Server, s scope) bool {
	policy := e.config.Evacuation
	switch {
	case !server.Evacuated():
		return true
	case policy.Closed(now, server.EvacuatedSince):
		return false
	default:
		return required.Primary || s.withMoving || evac.Admits(policy.Share(now, server.EvacuatedSince), s.number)
	}
}

// allClosed reports whether all servers of a service that could take a statement with the given homes
// are in evacuated failure domains, where nothing may be sent any more.
func (e *Entry) allClosed(now time.Time, homes []model.Region, servers []plan.Server) bool {
	var since []time.Time
	for _, s := range servers {
		if (s.Primary || !s.Draining) && e.config.Homes.Allows(homes, s.Domain) {
			since = append(since, s.EvacuatedSince)
		}
	}
	return e.config.Evacuation.AllClosed(now, since)
}

// primaryClosed reports whether nothing may be sent to the service's primary any more because its
// failure domain is evacuated, and since when. Its work then waits for the next primary.
func (e *Entry) primaryClosed(now time.Time, servers []plan.Server) (time.Time, bool) {
	var primary plan.Server
	for _, s := range servers {
		if s.Primary && s.Revision >= primary.Revision {
			primary = s
		}
	}
	if !e.config.Evacuation.Closed(now, primary.EvacuatedSince) {
		return time.Time{}, false
	}
	return e.config.Evacuation.ClosedAt(primary.EvacuatedSince), true
}

// transactionClosed reports whether no statement of a transaction may be sent to its server any more,
// because its failure domain is evacuated.
func (s *session) transactionClosed(now time.Time, server model.ServerID) bool {
	config := s.entry.config
	return config.Evacuation.Closed(now, config.View.State().Servers[server].EvacuatedSince)
}
