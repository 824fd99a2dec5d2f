package node

import (
	"crypto/tls"
	"log/slog"
	"net"
	"time"

	"pomelofork/core/admit"
	"pomelofork/core/model"
	"pomelofork/io/peer"
)

// Config holds the settings of one instance. The caller opens the listeners, so that an
// address that is in use is reported before anything has started.
type Config struct {
	// ID is the identifier of the instance, which must be unique in the fleet.
	ID model.InstanceID
	// Domain is the failure domain of the instance.
	Domain model.Domain
	// CallerListener accepts the connections of callers.
	CallerListener net.Listener
	// Limit is the limit on the callers' sessions.
	Limit admit.Limit
	// LinkListener accepts the connections on which other instances send units of work to
	// the gateways of this instance.
	LinkListener net.Listener
	// PeerListener accepts the net/rpc connections of other instances.
	PeerListener net.Listener
	// AdminListener accepts HTTP requests for the administration API, the metrics and the
	// readiness probe.
	AdminListener net.Listener
	// PlatformURL is the base URL of the platform's key-value service.
	PlatformURL string
	// Seeds are peer addresses of other instances, from which the instance can get the
	// configuration and the record of rights if the platform is unavailable at its start.
	Seeds []string
	// FleetSecret is the shared secret by which instances authenticate on links.
	FleetSecret string
	// OperatorTokenHash lists the operators with the hashes of their tokens, in the form
	// that admin.ParseOperators describes.
	OperatorTokenHash string
	// CallerTLS holds the TLS settings for callers. If it is nil, callers can't use TLS.
	CallerTLS *tls.Config
	// RequireTLS rejects callers that don't use TLS.
	RequireTLS bool
	// FleetTLS holds the TLS settings for connections between instances. If it is nil, they
	// don't use TLS.
	FleetTLS *tls.Config
	// ConfigFreshness is how long the instance serves requests after the last confirmation,
	// by the store or by more than half of the members, that its configuration is current.
	ConfigFreshness time.Duration
	// UnreadyPause is the time in a planned stop between becoming unready and draining the
	// callers, so that the load balancer stops sending new ones first.
	UnreadyPause time.Duration
	// DrainTimeout limits the duration of a planned stop.
	DrainTimeout time.Duration
	// Timing holds the durations of heartbeats and leases. Zero fields get defaults.
	Timing peer.Timing
	// Logger receives the events of package event.
	Logger *slog.Logger
}
