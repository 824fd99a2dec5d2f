package view

import (
	"maps"
	"slices"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/promo"
	"pomelofork/io/store"
)

// Right is the holder of one right.
type Right struct {
	// Instance is the instance that holds the right.
	Instance model.InstanceID
	// Revision is the store's revision of the right's entry. It serves as the fencing token
	// against former holders.
	Revision uint64
	// Lease is the holder's lease, with which the right ends.
	Lease store.LeaseID
	// Restored says that the right was held before the store was restored from an older copy, and
	// hasn't been written again. The entry in the store then has RestoredRevision, or none if that
	// is zero.
	Restored         bool
	RestoredRevision uint64
}

// Vacancy says since when a service has had no server to be used as its primary.
type Vacancy struct {
	// Former is the primary before. It is empty if it isn't known, or if another server has been
	// appointed since.
	Former model.ServerID
	// Promoting says that another server has been appointed that doesn't report the role yet.
	Promoting bool
	// Since is when the primary was lost, or when the server was appointed if Promoting.
	Since time.Time
}

// ChangeCounts counts how often each map of a state has changed. What was computed from a map is
// valid as long as its count is the same.
type ChangeCounts struct {
	// Servers, Instances and Rights are the counts of the maps of the same names.
	Servers, Instances, Rights uint64
	// Appointments is the count of the map of the same name. A change of an appointment also
	// changes the servers of its service.
	Appointments uint64
	// Plan counts the configurations that came into force.
	Plan uint64
}

// State is the content of the store as known at one time. It must not be changed.
type State struct {
	// Plan is the configuration in force, or nil while none is known.
	Plan *plan.Plan
	// Servers are the backend servers.
	Servers map[model.ServerID]plan.Server
	// Services are the same servers by service, sorted by ID.
	Services map[model.ServiceID][]plan.Server
	// Appointments say which servers are to be used as primaries.
	Appointments map[model.ServiceID]plan.Appointment
	// Copies are the servers that may hold acknowledged commits of the services that replicate
	// synchronously. They stay when a server's entry is removed.
	Copies map[model.ServiceID]promo.CopySet
	// Vacancies are the services that had a primary and have none now.
	Vacancies map[model.ServiceID]Vacancy
	// Instances are the registered instances. This one is among them once it is registered.
	Instances map[model.InstanceID]plan.Instance
	// Rights are the held rights by name.
	Rights map[string]Right
	// Evacuations are the failure domains whose servers get no work. A change of it counts as a
	// change of Servers.
	Evacuations map[model.Domain]Evacuation
	// StaleRights are the revisions of entries of rights that nobody holds: they were restored from
	// an older copy of the store, or written on the knowledge of one.
	StaleRights map[string]uint64
	// ChangeCounts counts the changes.
	ChangeCounts ChangeCounts
}

// Members returns the registered instances in no particular order.
func (s *State) Members() []plan.Instance { return slices.Collect(maps.Values(s.Instances)) }
