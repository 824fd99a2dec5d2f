package pooler

import (
	"context"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/stmt"
	"pomelofork/io/clock"
)

// dialTimeout bounds the opening of a connection. It is several times the duration of a
// handshake and of the wait for the server's slot that the handshake needs.
const dialTimeout = 500 * time.Millisecond

// serverConn is one connection of a pool and the state of the server's session on it. The
// pool's lock guards all fields.
type serverConn struct {
	account model.AccountID
	// openingSince is when the opening began, and openedFor the priority of the statement for which
	// the connection was opened.
	openingSince time.Time
	openedFor    int
	// conn is nil until the connection is open.
	conn Conn
	// values and prepared are the session values and the prepared statements that the
	// server's session has after all commands sent to it.
	values   map[string]string
	prepared preparedNames
	// tx is the open transaction, or zero.
	tx txKey
	// execution is the statement in flight, or nil.
	execution *execution
	// usesPrimary says that the last order or transaction needed the service's primary. It was
	// requested under epoch.
	usesPrimary bool
	epoch       uint64
	// withdrawn says that the appointment under which the statement in flight was requested was
	// withdrawn. The connection is closed after the answer.
	withdrawn bool
	idleFrom  time.Time
	// closed says that the pool has closed the connection, or doesn't want it when it
	// opens.
	closed bool
}

// idle reports whether the connection is open, has no statement in flight and is in no
// transaction.
func (sc *serverConn) idle() bool {
	return sc.conn != nil && !sc.closed && sc.execution == nil && sc.tx == (txKey{})
}

// txKey identifies a transaction of any entry: the entry with its incarnation, and the
// number of the transaction there. The zero key means no transaction.
type txKey struct {
	entry  uint64
	number uint64
}

// execution is one statement in flight on a connection, with the commands that the proxy
// sends before and after it.
type execution struct {
	request *request
	// setupLeft is the number of outstanding answers to setup commands. All of them have to
	// succeed before main is sent.
	setupLeft int
	// setupRest is the number of setup commands after those that change the session.
	setupRest int
	// syncFailed says that a command that changes the session failed, so that its state at
	// the server isn't known.
	syncFailed bool
	// main is sent after the setup. The caller's statement comes first.
	main []stmt.Command
	// mainLeft is the number of outstanding answers to main, or zero until it is sent.
	mainLeft int
	// startedAt is when the first command was sent. The statement holds a slot from then on.
	startedAt time.Time
	// reserved is the number of commands of main for which the ramp keeps room until they are sent.
	reserved int
	// sentAt is when main was sent, or the setup commands while they are outstanding.
	sentAt time.Time
	answer stmt.Answer
	// answered says that answer holds the answer to the caller's statement.
	answered bool
	// setupError is the answer to the first setup command that failed, or nil.
	setupError *stmt.Answer
	// retryAfter is the time after which the caller may retry if setupError is the pool's own refusal.
	retryAfter time.Duration
}

// newServerConn returns a connection and starts a goroutine that opens it and reads from it
// until it closes.
func newServerConn(p *Pool, account model.AccountID) *serverConn {
	sc := &serverConn{account: account, values: map[string]string{}}
	server, dialer := p.server, p.dialer
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		conn, err := dialer.Dial(ctx, server, account)
		cancel()
		if !p.handleOpened(clock.Now(), sc, conn, err) {
			return
		}
		for {
			answer, err := conn.Receive()
			if err != nil {
				p.handleClosed(clock.Now(), sc, err)
				return
			}
			p.handleAnswer(clock.Now(), sc, answer)
		}
	}()
	return sc
}

// commands returns the setup commands that have to succeed before an order's statement is
// sent, and the commands to send then, the statement first.
//
// They are sent separately: if the statement were in the same write as a BEGIN that the
// server refuses, it would run outside of a transaction.
func (sc *serverConn) commands(order *stmt.Order) (setup, main []stmt.Command) {
	setup, name := sc.syncSession(order)
	if order.Begin != stmt.OpPass {
		setup = append(setup, stmt.Command{Op: order.Begin, After: order.After})
	} else if order.Prove {
		setup = append(setup, stmt.Command{Op: stmt.OpBegin})
	}
	pass := stmt.Command{Op: stmt.OpPass, ID: order.Statement.ID, Text: order.Statement.Text}
	if order.Unit == 0 {
		pass.After = order.After
	}
	if order.Statement.Kind == stmt.KindExecute {
		pass.Name, pass.Rest = name, order.Statement.Rest
	}
	main = append(main, pass)
	if order.Prove {
		main = append(main, stmt.Command{Op: stmt.OpRollback})
	}
	return setup, main
}

// syncSession returns the commands that give the server's session the values of the
// caller's session and the prepared statement that the order executes. It records their
// effects as if they had succeeded.
func (sc *serverConn) syncSession(order *stmt.Order) (out []stmt.Command, name string) {
	if len(sc.values) == 0 && len(order.Values) == 0 && order.Statement.Kind != stmt.KindExecute {
		return nil, ""
	}
	if sc.needsReset(order) {
		out = append(out, stmt.Command{Op: stmt.OpReset})
		clear(sc.values)
		sc.prepared.clear()
	}
	for _, v := range order.Values {
		if held, ok := sc.values[v.Name]; !ok || held != v.Content {
			out = append(out, stmt.Command{Op: stmt.OpSet, Name: v.Name, Rest: v.Content})
			sc.values[v.Name] = v.Content
		}
	}
	if order.Statement.Kind == stmt.KindExecute {
		var known bool
		if name, known = sc.prepared.name(order.Prepared); !known {
			name = sc.prepared.add(order.Prepared)
			out = append(out, stmt.Command{Op: stmt.OpPrepare, Name: name, Rest: order.Prepared.Shape, Writes: order.Prepared.Writes})
		}
	}
	return out, name
}

// needsReset reports whether the server's session has values that the order's session lacks, or, outside of a
// transaction, no room for the prepared statement that the order executes.
func (sc *serverConn) needsReset(order *stmt.Order) bool {
	if sc.hasOtherValues(order) {
		return true
	}
	if !sc.crowded(order) {
		return false
	}
	_, known := sc.prepared.name(order.Prepared)
	return !known
}

// crowded reports whether the session would have to be reset outside of a transaction if the server doesn't have
// the prepared statement that the order executes.
func (sc *serverConn) crowded(order *stmt.Order) bool {
	return order.Statement.Kind == stmt.KindExecute && sc.tx == (txKey{}) && sc.prepared.full(order.Prepared)
}

// hasOtherValues reports whether the server's session has values that the order's session lacks.
func (sc *serverConn) hasOtherValues(order *stmt.Order) bool {
	if len(sc.values) == 0 {
		return false
	}
	wanted := make(map[string]struct{}, len(order.Values))
	for _, v := range order.Values {
		wanted[v.Name] = struct{}{}
	}
	for name := range sc.values {
		if _, ok := wanted[name]; !ok {
			return true
		}
	}
	return false
}

// takes reports whether the server's session may get what an order of its open transaction needs.
func (sc *serverConn) takes(order *stmt.Order) bool {
	if order.Statement.Kind != stmt.KindExecute || sc.tx == (txKey{}) || !sc.prepared.exceeded(order.Prepared) {
		return true
	}
	_, known := sc.prepared.name(order.Prepared)
	return known
}

// starts returns the number of commands that an order needs on the connection, or a few more: it is computed
// for each queued request, so it doesn't look up the prepared statement.
func (sc *serverConn) starts(order *stmt.Order) int {
	count := 1
	if order.Begin != stmt.OpPass {
		count++
	}
	if order.Prove {
		count += 2
	}
	if sc.matchingValues(order) < 0 || sc.crowded(order) {
		count += 1 + len(order.Values)
	} else {
		for _, v := range order.Values {
			if content, ok := sc.values[v.Name]; !ok || content != v.Content {
				count++
			}
		}
	}
	if order.Statement.Kind == stmt.KindExecute {
		count++
	}
	return count
}

// matchingValues returns how many of the order's session values the connection has already,
// or -1 if it has others and needs a reset first.
func (sc *serverConn) matchingValues(order *stmt.Order) int {
	held := 0
	for _, v := range order.Values {
		if content, ok := sc.values[v.Name]; ok && content == v.Content {
			held++
		}
	}
	if held < len(sc.values) {
		return -1
	}
	return held
}
