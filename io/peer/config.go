package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"time"

	"pomelofork/core/assert"
	"pomelofork/core/lease"
	"pomelofork/core/limit"
	"pomelofork/core/model"
)

// Member is one instance of the fleet, as the record of rights lists it.
type Member = lease.Member

// ListedInstance is one row of the platform's list of instances.
type ListedInstance struct {
	// Instance is the identifier of the instance.
	Instance model.InstanceID
	// Leaving is true if the platform is about to stop the instance.
	Leaving bool
}

// Config holds the settings of a fleet and the functions that it calls. The functions may
// be called from several goroutines at once and must not block.
type Config struct {
	// Self describes this instance. A zero incarnation is replaced by the present time in
	// nanoseconds, an empty peer address by the listener's address.
	Self Member
	// Listener accepts the connections of peers. Nil means to listen on Self.PeerAddress.
	Listener net.Listener
	// Seeds are addresses of peers that get heartbeats while no other member is known, so
	// that an instance can start while the store is down. They may be out of date.
	Seeds []string
	// Store is the platform's key-value service.
	Store Store
	// Instances returns the platform's list of instances, which lags. Nil means that there
	// is no list.
	Instances func(ctx context.Context) ([]ListedInstance, error)
	// Limits returns an account's rate. It returns false for an unknown account.
	Limits func(model.AccountID) (limit.Rate, bool)
	// Services returns the services that need gateways.
	Services func() []model.ServiceID
	// ConfigVersion returns the version of the configuration in force at this instance, or
	// zero while there is none.
	ConfigVersion func() uint64
	// ConfigDocument returns the document of a version. It returns false if that version
	// is not in force. Nil means that no peer gets a document.
	ConfigDocument func(version uint64) ([]byte, bool)
	// OnConfig is called with a newer document from the store or from a peer. It may be
	// called with the same document more than once. Nil does nothing.
	OnConfig func(version uint64, document []byte)
	// DecodeConfig returns the version and the document in the text under the store's key
	// config. Nil means that the fleet does not read that key, so that OnConfig gets
	// documents of peers only.
	DecodeConfig func(text string) (version uint64, document []byte, err error)
	// Idle reports whether no more work is in progress under this instance's former rank
	// of a service. Nil means that it is always idle.
	Idle func(service model.ServiceID, rank int) bool
	// TLS secures the connections between instances; both ends present certificates. Nil
	// means plain TCP.
	TLS *tls.Config
	// Logger receives the numbered events. Nil discards them.
	Logger *slog.Logger
	// Check records violated invariants. Nil does nothing.
	Check *assert.Checker
	// Now returns the present time with a monotonic clock reading. Nil means time.Now.
	Now func() time.Time
	// Timing holds the durations. Zero fields get their defaults.
	Timing Timing
}
