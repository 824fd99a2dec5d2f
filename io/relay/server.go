package relay

import (
	"context"
	"log/slog"
	"net"
	"net/rpc"
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
	// Log records when the server stops accepting connections.
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
	go func() {
		for {
			conn, err := c.Listener.Accept()
			if err != nil {
				c.Log.LogAttrs(context.Background(), slog.LevelInfo, "stopped accepting connections of peers", slog.String("error", err.Error()))
				return
			}
			go func() {
				codec := newCodec(conn)
				codec.disconnected = c.Disconnected
				server.ServeCodec(serverCodec{codec})
			}()
		}
	}()
	return nil
}
