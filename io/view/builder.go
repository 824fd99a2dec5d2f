package view

import (
	"maps"
	"slices"
	"strings"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/io/store"
)

// stateBuilder builds the next state from the present one. It copies a map only when that map
// changes: with many servers or instances the maps are large, and most updates concern only one
// of them.
type stateBuilder struct {
	now  time.Time
	next State
	// former are the counts of the state that the builder started from.
	former ChangeCounts
	// servicesCopied says that next.Services is a copy, which may be changed.
	servicesCopied bool
	// era is the era of the update, and listing says that it is the whole content. restored says
	// that it is the first content of an era after another one.
	era               uint64
	listing, restored bool
	// hasFormer says that the update has entries of instances that were written in a former era.
	hasFormer bool
	// evacuated are the failure domains whose evacuation the update begins.
	evacuated []model.Domain
	// initial says that the builder started from an empty state.
	initial bool
}

// newStateBuilder returns a builder that starts from a state. It leaves that state unchanged.
func newStateBuilder(now time.Time, s *State) *stateBuilder {
	return &stateBuilder{now: now, next: *s, former: s.ChangeCounts, initial: s.ChangeCounts == ChangeCounts{} && s.Plan == nil}
}

// writable returns a map of the state that may be changed, and counts the change. The first call
// of a builder for that map returns a copy; former is its count before.
func writable[K comparable, V any](part map[K]V, former uint64, count *uint64) map[K]V {
	if *count != former {
		return part
	}
	*count++
	if part == nil {
		return map[K]V{}
	}
	return maps.Clone(part)
}

// setServer adds or replaces a server, also if it has moved to another service.
func (b *stateBuilder) setServer(s plan.Server) {
	if previous, ok := b.next.Servers[s.ID]; ok && previous.Service != s.Service {
		b.removeServer(s.ID)
	}
	b.next.Servers = writable(b.next.Servers, b.former.Servers, &b.next.ChangeCounts.Servers)
	b.next.Servers[s.ID] = s
	former := primaryOf(b.next.Services[s.Service])
	servers, i, found := b.copyService(s.Service, s.ID)
	if found {
		servers[i] = s
	} else {
		servers = slices.Insert(servers, i, s)
	}
	b.next.Services[s.Service] = servers
	b.updateVacancy(s.Service, former)
}

// removeServer removes a server, if there is one with the ID.
func (b *stateBuilder) removeServer(id model.ServerID) {
	previous, ok := b.next.Servers[id]
	if !ok {
		return
	}
	b.next.Servers = writable(b.next.Servers, b.former.Servers, &b.next.ChangeCounts.Servers)
	delete(b.next.Servers, id)
	former := primaryOf(b.next.Services[previous.Service])
	servers, i, _ := b.copyService(previous.Service, id)
	if servers = slices.Delete(servers, i, i+1); len(servers) == 0 {
		delete(b.next.Services, previous.Service)
	} else {
		b.next.Services[previous.Service] = servers
	}
	b.updateVacancy(previous.Service, former)
}

// primaryOf returns the server to be used as the primary, or an empty ID.
func primaryOf(servers []plan.Server) model.ServerID {
	var primary plan.Server
	for _, s := range servers {
		if s.Primary && s.Revision >= primary.Revision {
			primary = s
		}
	}
	return primary.ID
}

// updateVacancy updates whether a service has a primary. former is its primary before the change.
func (b *stateBuilder) updateVacancy(service model.ServiceID, former model.ServerID) {
	switch _, vacant := b.next.Vacancies[service]; {
	case primaryOf(b.next.Services[service]) != "" || len(b.next.Services[service]) == 0:
		if vacant {
			b.next.Vacancies = maps.Clone(b.next.Vacancies)
			delete(b.next.Vacancies, service)
		}
	case former != "":
		b.setVacancy(service, Vacancy{Former: former, Since: b.now})
	}
}

func (b *stateBuilder) setVacancy(service model.ServiceID, v Vacancy) {
	if b.next.Vacancies = maps.Clone(b.next.Vacancies); b.next.Vacancies == nil {
		b.next.Vacancies = map[model.ServiceID]Vacancy{}
	}
	b.next.Vacancies[service] = v
}

// setAppointment sets which server is to be used as the primary of a service.
func (b *stateBuilder) setAppointment(service model.ServiceID, a plan.Appointment) {
	b.next.Appointments = writable(b.next.Appointments, b.former.Appointments, &b.next.ChangeCounts.Appointments)
	b.next.Appointments[service] = a
	for _, s := range b.next.Services[service] {
		b.setServer(a.Apply(s))
	}
	if _, vacant := b.next.Vacancies[service]; vacant && a.Server != "" {
		b.setVacancy(service, Vacancy{Promoting: true, Since: b.now})
	}
}

// copyService returns a copy of a service's servers, the index of a server in it, and whether the
// server is there. If it isn't, the index is where to insert it.
func (b *stateBuilder) copyService(service model.ServiceID, id model.ServerID) ([]plan.Server, int, bool) {
	if !b.servicesCopied {
		b.servicesCopied = true
		b.next.Services = maps.Clone(b.next.Services)
		if b.next.Services == nil {
			b.next.Services = map[model.ServiceID][]plan.Server{}
		}
	}
	servers := slices.Clone(b.next.Services[service])
	i, found := slices.BinarySearchFunc(servers, id, func(s plan.Server, id model.ServerID) int { return strings.Compare(string(s.ID), string(id)) })
	return servers, i, found
}

// setInstance adds or replaces an instance.
func (b *stateBuilder) setInstance(i plan.Instance) {
	b.next.Instances = writable(b.next.Instances, b.former.Instances, &b.next.ChangeCounts.Instances)
	b.next.Instances[i.ID] = i
}

// removeInstance removes an instance, if there is one with the ID.
func (b *stateBuilder) removeInstance(id model.InstanceID) {
	if _, ok := b.next.Instances[id]; !ok {
		return
	}
	b.next.Instances = writable(b.next.Instances, b.former.Instances, &b.next.ChangeCounts.Instances)
	delete(b.next.Instances, id)
}

// setRight sets the holder of a right.
func (b *stateBuilder) setRight(name string, r Right) {
	b.next.Rights = writable(b.next.Rights, b.former.Rights, &b.next.ChangeCounts.Rights)
	b.next.Rights[name] = r
}

// removeRight records that nobody holds a right.
func (b *stateBuilder) removeRight(name string) {
	if _, ok := b.next.Rights[name]; !ok {
		return
	}
	b.next.Rights = writable(b.next.Rights, b.former.Rights, &b.next.ChangeCounts.Rights)
	delete(b.next.Rights, name)
}

// isFormer reports whether an instance's entry was written in a former era and may still be in
// force, so that its absence from the store doesn't end it.
func (b *stateBuilder) isFormer(revision uint64) bool { return store.Era(revision) < b.era }

// dropFormer removes the instances and rights that haven't been written in the present era, and
// returns their numbers.
func (b *stateBuilder) dropFormer() (instances, rights int) {
	former := b.next
	for id, inst := range former.Instances {
		if b.isFormer(inst.Revision) {
			b.removeInstance(id)
			instances++
		}
	}
	for name, right := range former.Rights {
		if b.isFormer(right.Revision) {
			b.removeRight(name)
			b.setStaleRight(name, right.RestoredRevision)
			rights++
		}
	}
	return instances, rights
}

// setStaleRight sets the revision of the entry of a right that nobody holds. Zero means that there is
// no entry.
func (b *stateBuilder) setStaleRight(name string, revision uint64) {
	if b.next.StaleRights[name] == revision {
		return
	}
	if b.next.StaleRights = maps.Clone(b.next.StaleRights); b.next.StaleRights == nil {
		b.next.StaleRights = map[string]uint64{}
	}
	if revision == 0 {
		delete(b.next.StaleRights, name)
	} else {
		b.next.StaleRights[name] = revision
	}
}
