package conf

import "pomelofork/core/model"

// ServerEntry declares one backend server.
type ServerEntry struct {
	// ID is the server's identifier, unique over all services.
	ID model.ServerID `json:"id"`
	// Address is an IP number and a port.
	Address string `json:"address"`
	// FailureDomain is where the server runs.
	FailureDomain model.Domain `json:"failure_domain"`
	// Slots is the number of statements the server runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections the server takes.
	Connections int `json:"connections"`
	// Draining says that the server gets no new work.
	Draining bool `json:"draining,omitempty"`
}
