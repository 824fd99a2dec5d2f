package pgsim

import (
	"time"

	"pomelofork/core/model"
)

// groupSize is the number of servers of a group.
const groupSize = 3

// Config holds the settings of one group.
type Config struct {
	// Service names the group. Its servers are called Service-0 to Service-2.
	Service model.ServiceID
	// Listen is the address of the first server. The others use the next ports; with
	// port 0 each takes a free one.
	Listen string
	// Slots is how many statements run at once on one server.
	Slots int
	// Connections is how many connections one server takes.
	Connections int
	// ConnectCost is the time that a server takes for a new connection.
	ConnectCost time.Duration
	// StatementCost is the time for which a statement keeps a slot.
	StatementCost time.Duration
	// ReceiveLag is the time from a commit until a replica holds the entry.
	ReceiveLag time.Duration
	// ApplyLag is the time from then until reads of the replica see it.
	ApplyLag time.Duration
	// User and Password are the only ones let in. An empty user lets in everybody.
	User, Password string
}
