package group

import (
	"context"
	"net"
	"syscall"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/stmt"
	"pomelofork/io/pooler"
)

// Dialer implements pooler.Dialer. It opens connections to the servers of its groups.
type Dialer []*Group

// Dial opens a connection to a server for the statements of a client account. It returns
// pooler.ErrMoved if no group has the server, pooler.ErrConnectionLimit if the server
// accepts no further connections, and an error with ECONNREFUSED if the server is down.
func (d Dialer) Dial(_ context.Context, server plan.Server, account model.AccountID) (pooler.Conn, error) {
	for _, g := range d {
		if g.config.Service == server.Service {
			return g.dial(server, account)
		}
	}
	return nil, pooler.ErrMoved
}

// dial opens a connection to a server of the group, and starts the goroutine that runs the
// commands sent on it.
func (g *Group) dial(registered plan.Server, account model.AccountID) (*Session, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.servers[registered.ID]
	switch {
	case !ok:
		return nil, pooler.ErrMoved
	case s.down:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	case g.config.Connections > 0 && len(s.sessions) >= g.config.Connections:
		return nil, pooler.ErrConnectionLimit
	}
	session := &Session{
		server: s, account: account, settings: map[string]string{}, preparedStatements: map[string]stmt.Prepared{},
		batches: make(chan []stmt.Command, 16), answers: make(chan stmt.Answer, 64), closed: make(chan struct{}), deadlines: make(chan time.Time, 16),
	}
	s.sessions[session] = struct{}{}
	go func() {
		for {
			select {
			case <-session.closed:
				return
			case commands := <-session.batches:
				for _, c := range commands {
					answer, ok := session.runCommand(c)
					if !ok {
						return
					}
					session.answers <- answer
				}
			}
		}
	}()
	return session, nil
}
