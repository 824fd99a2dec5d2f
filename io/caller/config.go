package caller

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"time"

	"pomelofork/core/admit"
	"pomelofork/core/assert"
	"pomelofork/core/conf"
	"pomelofork/core/model"
	"pomelofork/io/meter"
	"pomelofork/io/wire"
)

const (
	// defaultBatchTimeout is the timeout of each batch if the caller sets none.
	defaultBatchTimeout = 10 * time.Second
	// maxBatchTimeout is the longest timeout that a caller may set.
	maxBatchTimeout = 10 * time.Minute
	// startupTimeout bounds the time from accepting a connection to the end of its
	// authentication.
	startupTimeout = 10 * time.Second
	// idleTransactionTimeout bounds how long an open transaction may wait for the caller's
	// next message, because it occupies a connection to a backend server and these are few.
	idleTransactionTimeout = 30 * time.Second
	// withdrawalGracePeriod is how long a running statement may continue after the key of its
	// session was withdrawn.
	withdrawalGracePeriod = 2 * time.Second
	// drainIdleTime is how long a session must have been idle before a planned stop closes
	// it, so that a request on its way doesn't meet a closed connection.
	drainIdleTime = 300 * time.Millisecond
	// maxLoginBytes bounds the body of one message before the login.
	maxLoginBytes = 64 << 10
	// maxMessageBytes bounds the body of one message of a caller.
	maxMessageBytes = 16 << 20
	// maxBatchBytes bounds the messages of one batch, by sizeOf.
	maxBatchBytes = 32 << 20
	// messageOverhead is the size that a message counts for beyond its texts and parameters.
	// It covers the fixed fields and a shared name.
	messageOverhead = 64
	// retryDelay is the delay that callers are told to wait before a retry while an
	// instance or a gateway is being replaced.
	retryDelay = 200 * time.Millisecond
	// maintenanceRetryDelay is the delay that callers are told to wait before a retry while
	// the preset in force refuses writes.
	maintenanceRetryDelay = 30 * time.Second
)

// Directory gives the entry access to the rest of its instance. It must be safe for
// concurrent use.
type Directory interface {
	// Config returns the configuration in force. It returns a refusal if the instance
	// has no configuration that is known to be current at the time now.
	Config(now time.Time) (*conf.Config, *model.Refusal)
	// Take takes one token of the account's rate. The error is a *model.Refusal,
	// whose RetryAfter says how long to wait before the next try.
	Take(ctx context.Context, account model.AccountID) error
	// Gateways returns the usable gateways of a service, in the order of their ranks. It
	// may return none.
	Gateways(service model.ServiceID) []wire.Gateway
}

// Config holds the dependencies and settings of a Server.
type Config struct {
	// Listener accepts the connections of callers. The server closes it.
	Listener net.Listener
	// Limit is the limit on the sessions.
	Limit admit.Limit
	// TLS is used for callers that request TLS. If it is nil, such requests are declined.
	TLS *tls.Config
	// RequireTLS rejects sessions that don't use TLS.
	RequireTLS bool
	// Directory gives access to the rest of the instance.
	Directory Directory
	// Logger receives the events 500 to 599.
	Logger *slog.Logger
	// Meter counts units of work. If it is nil, they aren't counted.
	Meter *meter.Meter
	// Check counts violated invariants. If it is nil, they aren't checked.
	Check *assert.Checker
	// Now returns the current time.
	Now func() time.Time
}
