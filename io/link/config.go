package link

import (
	"crypto/tls"
	"log/slog"
	"net"
	"time"

	"pomelofork/core/model"
	"pomelofork/io/wire"
)

// Settings, limits and timeouts of the connections between instances.
const (
	// User is the user name with which instances log in to each other.
	User = "pomelofork"
	// DefaultServerConnections is the default of ServerConfig.MaxConnections.
	DefaultServerConnections = 4096
	// DefaultClientConnections is the default of ClientConfig.MaxConnections.
	DefaultClientConnections = 256
	// startupTimeout bounds the time for connecting and logging in.
	startupTimeout = 5 * time.Second
	// maxLoginBytes bounds the size of one message before the login.
	maxLoginBytes = 64 * 1024
	// maxMessageBytes bounds the size of one message.
	maxMessageBytes = 32 * 1024 * 1024
	// flushThresholdBytes is the buffered size at which a part of an answer is sent before
	// the answer is complete.
	flushThresholdBytes = 32 * 1024
	// The gateway gets less time for a unit than the entry has left: the time left is
	// reduced by one part in returnMarginDivisor, at most by maxReturnMargin. So the
	// gateway's own refusal arrives before the entry's time is over.
	returnMarginDivisor = 10
	maxReturnMargin     = 20 * time.Millisecond
	// pointParameter names the ParameterStatus that carries wire.Result.Point.
	pointParameter = "pomelofork.point"
)

// ServerConfig holds the settings of a server.
type ServerConfig struct {
	// Listener accepts the connections of other instances. The server closes it.
	Listener net.Listener
	// Gateways returns the gateway of a service, and false if this instance is not a
	// gateway of the service.
	Gateways func(model.ServiceID) (wire.Gateway, bool)
	// Secret is the password with which instances log in to each other.
	Secret string
	// TLS is used for the connections. If it is nil, they are not encrypted.
	TLS *tls.Config
	// MaxConnections bounds the open connections. Zero stands for DefaultServerConnections.
	MaxConnections int
	Logger         *slog.Logger
	// Now returns the present time.
	Now func() time.Time
}

// ClientConfig holds the settings of a client.
type ClientConfig struct {
	// Address is the other instance's address, as host:port.
	Address string
	// Secret is the password with which instances log in to each other.
	Secret string
	// TLS is used for the connections. If it is nil, they are not encrypted.
	TLS *tls.Config
	// MaxConnections bounds the connections in use, and so the units that run at the same time.
	// Zero stands for DefaultClientConnections.
	MaxConnections int
	Logger         *slog.Logger
	// Now returns the present time.
	Now func() time.Time
}
