package conf

import "pomelofork/core/model"

// Server is one backend server.
type Server struct {
	id          model.ServerID
	address     string
	domain      model.Domain
	slots       int
	connections int
	draining    bool
}

// ID returns the server's identifier.
func (s Server) ID() model.ServerID { return s.id }

// Address returns the IP number and port.
func (s Server) Address() string { return s.address }

// Domain returns the failure domain.
func (s Server) Domain() model.Domain { return s.domain }

// Slots returns how many statements the server runs at once.
func (s Server) Slots() int { return s.slots }

// Connections returns how many connections the server takes.
func (s Server) Connections() int { return s.connections }

// Draining reports whether an operator wants no new work on the server.
func (s Server) Draining() bool { return s.draining }

// newServer returns the server of a checked entry.
func newServer(entry ServerEntry) Server {
	return Server{
		id:          entry.ID,
		address:     entry.Address,
		domain:      entry.FailureDomain,
		slots:       entry.Slots,
		connections: entry.Connections,
		draining:    entry.Draining,
	}
}
