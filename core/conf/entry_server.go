package conf

import "pomelofork/core/model"

// ServerEntry declares one backend server.
type ServerEntry struct {
	// ID is the server's identifier, unique over all services.
	ID model.ServerID `json:"id"`
	// Address is the IP address and port at which the server listens.
	Address string `json:"address"`
	// FailureDomain is the failure domain in which the server runs.
	FailureDomain model.Domain `json:"failure_domain"`
	// Slots is the number of statements that the server runs concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that the server accepts. It is at least
	// Slots.
	Connections int `json:"connections"`
	// Draining says that the server gets no new work.
	Draining bool `json:"draining,omitempty"`
}
