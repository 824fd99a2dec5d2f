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

// Address returns the IP address and port at which the server listens.
func (s Server) Address() string { return s.address }

// Domain returns the failure domain in which the server runs.
func (s Server) Domain() model.Domain { return s.domain }

// Slots returns the number of statements that the server runs concurrently.
func (s Server) Slots() int { return s.slots }

// Connections returns the number of connections that the server accepts.
func (s Server) Connections() int { return s.connections }

// Draining reports whether an operator has stopped new work on the server or in its failure domain.
func (s Server) Draining() bool { return s.draining }

// newServer returns the server that a validated entry declares.
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
