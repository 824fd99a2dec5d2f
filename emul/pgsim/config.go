package pgsim

import (
	"time"

	"pomelofork/core/model"
)

// serversPerGroup is the number of servers of a group.
const serversPerGroup = 3

// Config holds the settings of one group.
type Config struct {
	// Service is the service that the group serves. The servers are named Service-0 to
	// Service-2.
	Service model.ServiceID
	// Listen is the host and port of the first server. The other servers use the next two
	// ports. With port 0, each server gets a free port.
	Listen string
	// Slots is the number of statements that one server runs concurrently.
	Slots int
	// Connections is the number of connections that one server accepts. Further connections
	// are refused with SQLSTATE 53300.
	Connections int
	// ConnectCost is the time that a server takes to open a connection.
	ConnectCost time.Duration
	// StatementCost is the time for which a statement occupies a slot.
	StatementCost time.Duration
	// ReceiveLag is the time from a commit until a replica has received the log entry.
	ReceiveLag time.Duration
	// ApplyLag is the time from receiving a log entry until reads of the replica see it.
	ApplyLag time.Duration
	// User and Password are the only accepted credentials. If User is empty, every login is
	// accepted without a password.
	User, Password string
}
