package link

import (
	"crypto/tls"
	"log/slog"
	"net"
	"time"

	"pomelofork/core/model"
	"pomelofork/io/wire"
)

// The bounds and times of links.
const (
	// User is the user name of instances towards each other.
	User = "pomelofork"
	// DefaultServerLimit bounds the connections of a server.
	DefaultServerLimit = 4096
	// DefaultClientLimit bounds the connections of a client.
	DefaultClientLimit = 256
	// startupTimeout bounds the time until a new connection has logged in.
	startupTimeout = 5 * time.Second
	// maxBatchBytes bounds the messages of one batch.
	maxBatchBytes = 64 * 1024 * 1024
	// maxMessageBytes bounds one message.
	maxMessageBytes = 32 * 1024 * 1024
	// flushBytes is the size at which an answer is sent on before its end.
	flushBytes = 32 * 1024
	// marginPart and maxMargin keep a part of a unit's time for the way back, so
	// that the gateway's own refusal arrives before the entry gives up.
	marginPart = 10
	maxMargin  = 20 * time.Millisecond
	// parameterPoint reports wire.Result.Point.
	parameterPoint = "pomelofork.point"
)

// ServerConfig holds the parts of a server.
type ServerConfig struct {
	// Listener takes the connections of other instances. The server closes it.
	Listener net.Listener
	// Gateways returns the gateway of a service when this instance is one.
	Gateways func(model.ServiceID) (wire.Gateway, bool)
	// Secret is the password of instances towards each other.
	Secret string
	// TLS secures the connections, or is nil.
	TLS *tls.Config
	// Limit bounds the connections. Zero stands for DefaultServerLimit.
	Limit  int
	Logger *slog.Logger
	// Now returns the present time.
	Now func() time.Time
}

// ClientConfig holds the parts of a client.
type ClientConfig struct {
	// Address is the other instance, as host:port.
	Address string
	// Secret is the password of instances towards each other.
	Secret string
	// TLS secures the connections, or is nil.
	TLS *tls.Config
	// Limit bounds the connections and with them the lanes at once. Zero stands
	// for DefaultClientLimit.
	Limit  int
	Logger *slog.Logger
	// Now returns the present time.
	Now func() time.Time
}
