package caller

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"time"

	"pomelofork/core/assert"
	"pomelofork/core/conf"
	"pomelofork/core/model"
	"pomelofork/io/meter"
	"pomelofork/io/wire"
)

const (
	// defaultUnitTimeout is the time for a unit of work when nobody says otherwise.
	defaultUnitTimeout = 10 * time.Second
	// maxUnitTimeout bounds what a caller may ask for.
	maxUnitTimeout = 10 * time.Minute
	// startupTimeout bounds the time from accepting a connection to the key.
	startupTimeout = 10 * time.Second
	// idleTransactionTimeout bounds the time that an open transaction may wait for its
	// caller, because it holds a scarce connection to a backend server.
	idleTransactionTimeout = 30 * time.Second
	// withdrawalGrace is the time that a running statement gets after its key was
	// withdrawn.
	withdrawalGrace = 2 * time.Second
	// drainIdle is how long a session must have been silent before a planned stop
	// closes it, so that a request on its way is not met by a closed connection.
	drainIdle = 300 * time.Millisecond
	// maxMessageBytes bounds one message of a caller.
	maxMessageBytes = 16 << 20
	// maxBatchBytes bounds what a session collects up to a Sync.
	maxBatchBytes = 32 << 20
	// retryPause is the time after which a caller may come back when an instance or a
	// gateway is being replaced.
	retryPause = 200 * time.Millisecond
	// maintenancePause is the time after which a caller may come back when the preset in
	// force refuses writes.
	maintenancePause = 30 * time.Second
)

// Directory is what the entry needs to know of the rest of its instance.
type Directory interface {
	// Config returns the configuration in force, or a refusal when the instance knows
	// none that is surely current.
	Config(now time.Time) (*conf.Config, *model.Refusal)
	// Take draws one token of the account's rate, or returns a *model.Refusal.
	Take(ctx context.Context, account model.AccountID) error
	// Gateways returns the usable gateways of a service, in rank order.
	Gateways(service model.ServiceID) []wire.Gateway
}

// Config holds the parts of a server.
type Config struct {
	// Listener accepts the callers. The server closes it.
	Listener net.Listener
	// TLS is offered to callers when it isn't nil.
	TLS *tls.Config
	// RequireTLS refuses callers that don't use TLS.
	RequireTLS bool
	// Directory is the rest of the instance.
	Directory Directory
	// Logger takes the events 500 to 599.
	Logger *slog.Logger
	// Meter counts units of work. It may be nil.
	Meter *meter.Meter
	// Check counts broken invariants. It may be nil.
	Check *assert.Checker
	// Now returns the present time.
	Now func() time.Time
}
