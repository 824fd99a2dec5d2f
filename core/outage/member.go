package outage

import (
	"time"

	"pomelofork/core/model"
	"pomelofork/core/plan"
)

// Member is an instance or a backend server in a failure domain.
type Member struct {
	instance model.InstanceID
	server   model.ServerID
}

// Instance returns an instance as a member.
func Instance(id model.InstanceID) Member { return Member{instance: id} }

// Server returns a backend server as a member.
func Server(id model.ServerID) Member { return Member{server: id} }

// In reports whether the member is among the given instances and servers.
func (m Member) In(instances map[model.InstanceID]plan.Instance, servers map[model.ServerID]plan.Server) bool {
	_, instance := instances[m.instance]
	_, server := servers[m.server]
	return instance || server
}

// String returns the kind and the ID.
func (m Member) String() string {
	switch {
	case m.server != "":
		return "server " + string(m.server)
	case m.instance == "":
		return "none"
	}
	return "instance " + string(m.instance)
}

// contact is what is known of one member.
type contact struct {
	// contactedAt is when it last answered or failed to.
	contactedAt time.Time
	// silentAt is when it last failed to answer.
	silentAt time.Time
}
