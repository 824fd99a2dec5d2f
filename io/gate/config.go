package gate

import (
	"crypto/tls"
	"log/slog"
	"time"

	"pomelofork/core/assert"
	"pomelofork/core/drain"
	"pomelofork/core/model"
)

// Server describes one backend server. Slots and Connections are limits for all gateways
// of the service together.
type Server struct {
	ID      model.ServerID
	Address string
	Domain  model.Domain
	// Slots is the number of statements that may run at the same time.
	Slots int
	// Connections is the number of connections that may be open at the same time.
	Connections int
}

// Position says which of the gateways of its service a gateway is. Each backend server's
// slots and connections are divided evenly among them.
type Position struct {
	// Rank counts from 0. If a total isn't divisible by Count, the remainder goes to the
	// lowest ranks, one each.
	Rank int
	// Count is the number of gateways. A value below 1 is taken as 1.
	Count int
}

// shareOf returns the share of a total that belongs to the rank.
func (p Position) shareOf(total int) int {
	count := max(1, p.Count)
	share := total / count
	if p.Rank < total%count {
		share++
	}
	return share
}

// Config holds the settings of a gateway and what it depends on.
type Config struct {
	Service  model.ServiceID
	Servers  []Server
	Position Position
	Group    Group
	// Share returns the weight of a client account in the division of slot time.
	Share func(model.AccountID) int
	// User, Password and Database are used to log in to the backend servers.
	User     string
	Password string
	Database string
	// TLS is used for connections to backend servers. If it is nil, they are not encrypted.
	TLS    *tls.Config
	Logger *slog.Logger
	Check  *assert.Checker
	// Now returns the current time.
	Now func() time.Time
	// Leaving reports whether the platform's list or an operator says that a backend
	// server is leaving. It may be nil. A server that reports itself as leaving counts as
	// leaving in any case.
	Leaving func(model.ServerID) bool
	// Stopping returns the schedule of the instance's planned stop. It may be nil.
	Stopping func() drain.Stop
	// HoldsRight reports whether the instance still holds the right to the gateway's share.
	// While it returns false, the gateway starts no work and closes its idle connections.
	HoldsRight func() bool
}

// Limits and durations of a gateway.
const (
	// watcherConnections is how many of the gateway's connections to each backend server
	// are reserved for the watcher that polls the server's status.
	watcherConnections = 1
	// maxQueuedPerAccount is the number of statements of one client account that may wait
	// for a slot.
	maxQueuedPerAccount = 256
	// quantum is the slot time that an account of share 1 gets in one round of the queue.
	quantum = 4 * time.Millisecond
	// firstCost is the slot time that the queue assumes for a statement of an account of
	// which no statement has been measured.
	firstCost = 2 * time.Millisecond
	// replicaWait is how long a read that a replica may serve waits for one before it uses
	// the primary.
	replicaWait = 4 * time.Millisecond
	// connectTimeout limits the time to open a connection to a backend server.
	connectTimeout = 2 * time.Second
	// connectRetryPause is the time after a failure to open a connection to a server
	// during which no other is opened.
	connectRetryPause = 100 * time.Millisecond
	// defaultUnitTimeout is the time limit of a unit that states none.
	defaultUnitTimeout = 30 * time.Second
	// cancelTimeout limits how long the slot of a timed-out statement stays in use while
	// the server cancels the statement.
	cancelTimeout = time.Second
	// checkInterval is the time between checks of the right and of idle connections.
	checkInterval = 50 * time.Millisecond
	// idleTimeout is how long an idle connection is kept if there are more idle connections
	// than slots.
	idleTimeout = time.Minute
	// earlyReleaseBytes is the size of a buffered answer above which its rows are passed on
	// early, if the server is confirmed as primary. It applies until the first command of
	// the answer is complete.
	earlyReleaseBytes = 256 * 1024
	// maxBufferBytes is the greatest size of a buffered answer after its first command is
	// complete. A larger answer fails.
	maxBufferBytes = 16 * 1024 * 1024
	// maxSharedStatements is the number of shared prepared statements that a connection
	// keeps.
	maxSharedStatements = 256
	// leavingTransactionTimeout is how long open transactions may continue at a server
	// that is leaving.
	leavingTransactionTimeout = 3 * time.Second
	// initialOutage is how long the service is expected to be without a primary, as long
	// as no such outage has been observed.
	initialOutage = 300 * time.Millisecond
	// defaultRetryAfter is the retry delay in refusals for which no better estimate exists.
	defaultRetryAfter = 500 * time.Millisecond
)
