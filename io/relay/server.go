package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/rpc"
	"sync/atomic"

	"pomelofork/io/sock"
)

// Handler answers the calls of peers. Its methods may be called concurrently. An error is
// returned to the peer as text.
type Handler interface {
	// Run runs an order at a backend server.
	Run(args *RunRequest, result *RunResponse) error
	// Draw issues tokens of a client account.
	Draw(args *DrawRequest, result *DrawResponse) error
	// Follow waits for changes of the store's content and returns them.
	Follow(args *FollowRequest, result *FollowResponse) error
	// Look returns a service's newest point and the configuration age.
	Look(args *LookRequest, result *LookResponse) error
	// Endorse says whether the appointment of a service's primary is in force.
	Endorse(args *EndorseRequest, result *EndorseResponse) error
	// Confirm says when a server was last known to be the primary of its service.
	Confirm(args *ConfirmRequest, result *ConfirmResponse) error
	// Outage says whether a failure domain is suspected of having failed.
	Outage(args *OutageRequest, result *OutageResponse) error
	// Withdraw stops the work of a primary whose appointment was withdrawn.
	Withdraw(args *WithdrawRequest, result *WithdrawResponse) error
}

// serviceName is the name of the net/rpc service.
const serviceName = "Peer"

// ServerConfig holds the settings and dependencies of a server.
type ServerConfig struct {
	// Listener accepts the connections of peers. Closing it ends the server.
	Listener net.Listener
	// Handler answers the calls.
	Handler Handler
	// Disconnected is called when a connection ends on which orders arrived. It gets the
	// orders' Entry, which identifies the instance that sent them and its incarnation.
	Disconnected func(entry uint64)
	// Answering counts the orders that have been received and whose answers haven't been written. It may
	// be nil.
	Answering *atomic.Int64
	// Build names the version of this program. It may be empty.
	Build string
	// Rejected is called with the reason for each connection or request that can't be decoded. It may be
	// nil.
	Rejected func(reason string)
	// Log records when the server stops accepting connections, and what can't be decoded.
	Log *slog.Logger
}

// NewServer starts a server that answers calls until the listener is closed. Connections that
// are open by then are served until the peer closes them. It returns an error if net/rpc
// accepts none of the handler's methods.
func NewServer(c ServerConfig) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, c.Handler); err != nil {
		return err
	}
	listener := sock.NewPersistent(sock.PersistentConfig{Listener: c.Listener, Changed: sock.LogAccepting(c.Log, "instances")})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				c.Log.LogAttrs(context.Background(), slog.LevelInfo, "stopped accepting connections of peers", slog.String("error", err.Error()))
				return
			}
			go func() { c.serve(server, conn) }()
		}
	}()
	return nil
}

// serve answers the calls on one connection until the peer closes it.
func (c *ServerConfig) serve(server *rpc.Server, conn net.Conn) {
	in := bufio.NewReader(conn)
	peer, err := accept(conn, in, c.Build)
	if err != nil {
		if !errors.Is(err, io.EOF) {
			c.count(rejectedHello)
			c.logRejected(slog.String("peer", conn.RemoteAddr().String()), slog.String("error", err.Error()))
		}
		// The connection isn't used, so an error of closing it doesn't matter.
		_ = conn.Close()
		return
	}
	codec := newCodec(conn, in, peer.form)
	codec.disconnected, codec.answering, codec.gone = c.Disconnected, c.Answering, make(chan struct{})
	logged := false
	codec.undecoded = func(method string, err error) {
		if c.count(rejectedRequest); !logged {
			c.logRejected(slog.String("peer", conn.RemoteAddr().String()), slog.String("build", peer.build), slog.String("method", method), slog.String("error", err.Error()))
			logged = true
		}
	}
	server.ServeCodec(serverCodec{codec})
}

// The reasons that ServerConfig.Rejected gets.
const (
	rejectedHello   = "hello"
	rejectedRequest = "request"
)

// count counts something that can't be decoded.
func (c *ServerConfig) count(reason string) {
	if c.Rejected != nil {
		c.Rejected(reason)
	}
}

// logRejected logs something that can't be decoded.
func (c *ServerConfig) logRejected(attrs ...slog.Attr) {
	c.Log.LogAttrs(context.Background(), slog.LevelWarn, "cannot decode what a peer sent, nothing of it was run", attrs...)
}
