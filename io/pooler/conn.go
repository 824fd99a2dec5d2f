package pooler

import (
	"context"
	"errors"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/stmt"
)

// Errors that Dial may return or wrap.
var (
	// ErrMoved means that a server with another identifier answers at the address.
	ErrMoved = errors.New("another server answers at the address")
	// ErrConnectionLimit means that the server has reached its limit of connections.
	ErrConnectionLimit = errors.New("server takes no more connections")
)

// Conn is one connection to a backend server. Send and Receive may be called concurrently.
type Conn interface {
	// Send sends the commands in a single write.
	Send(commands []stmt.Command) error
	// Receive returns the answer to the oldest command that has none yet. It blocks until
	// the answer arrives, the connection is closed or the deadline passes.
	Receive() (stmt.Answer, error)
	// SetDeadline makes Receive fail from the given time on, also a call that is already
	// blocked. The zero time removes the deadline.
	SetDeadline(deadline time.Time) error
	// Close closes the connection. The server rolls back an open transaction.
	Close() error
}

// Dialer opens connections to backend servers. The codec of the server's protocol
// implements it.
type Dialer interface {
	// Dial opens a connection for the statements of the client account.
	Dial(ctx context.Context, server plan.Server, account model.AccountID) (Conn, error)
}
