package gate

import (
	"strings"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/core/model"
	"pomelofork/io/line"
	"pomelofork/io/script"
)

// sharedPrefix marks the prepared statements that connections share.
const sharedPrefix = "pf_"

// The statements that switch a connection between reading and writing.
const (
	setReadOnly  = "SET default_transaction_read_only = on"
	setReadWrite = "SET default_transaction_read_only = off"
)

// conn is one connection to a backend server.
type conn struct {
	*line.Conn
	cancel   *pgconn.PgConn
	names    *names
	readOnly bool
	// altered says that callers changed the state of the connection, so that it
	// must not be given on.
	altered bool
	// account is the client account that uses the connection at present.
	account model.AccountID
	// writes says that the connection is in use by a unit that writes.
	writes bool
}

func newConn(l *line.Conn, cancel *pgconn.PgConn, readOnly bool) *conn {
	return &conn{Conn: l, cancel: cancel, names: newNames(statementNames), readOnly: readOnly}
}

// ready adds what has to go ahead of a batch for a unit that reads or writes.
func (c *conn) ready(readOnly bool) error {
	if err := c.turn(readOnly); err != nil {
		return err
	}
	return c.shed()
}

// add adds the messages of a batch.
func (c *conn) add(messages []pgproto3.FrontendMessage) error {
	for _, m := range messages {
		if err := c.addOne(m); err != nil {
			return err
		}
	}
	return nil
}

// turn switches the connection to reading or writing, ahead of the batch.
func (c *conn) turn(readOnly bool) error {
	if c.readOnly == readOnly {
		return nil
	}
	c.readOnly = readOnly
	text := setReadWrite
	if readOnly {
		text = setReadOnly
	}
	return c.addHidden(&pgproto3.Query{String: text})
}

// shed closes the statements above the bound, ahead of the batch.
func (c *conn) shed() error {
	for _, name := range c.names.surplus() {
		if err := c.addHidden(&pgproto3.Close{ObjectType: 'S', Name: name}); err != nil {
			return err
		}
	}
	return nil
}

// addHidden adds a message whose answer isn't passed on.
func (c *conn) addHidden(m pgproto3.FrontendMessage) error {
	entry, _ := script.EntryOf(m)
	return c.AddAs(entry.Hidden(), m)
}

// addOne adds one message of a caller. Shared statements are parsed once for
// each connection and never closed by callers.
func (c *conn) addOne(m pgproto3.FrontendMessage) error {
	entry, _ := script.EntryOf(m)
	if !strings.HasPrefix(entry.Name(), sharedPrefix) {
		return c.Add(m)
	}
	switch entry.Kind() {
	case script.KindClose:
		return c.AddAs(entry.Withheld(), m)
	case script.KindParse:
		return c.parse(entry, m)
	}
	return c.Add(m)
}

func (c *conn) parse(entry script.Entry, m pgproto3.FrontendMessage) error {
	if c.altered {
		// A caller may have dropped any statement, so each one is made anew.
		if err := c.addHidden(&pgproto3.Close{ObjectType: 'S', Name: entry.Name()}); err != nil {
			return err
		}
		return c.AddAs(entry, m)
	}
	if c.names.use(entry.Name()) {
		return c.AddAs(entry.Withheld(), m)
	}
	return c.AddAs(entry, m)
}

// learn records the statements that the server accepted.
func (c *conn) learn(done []script.Entry) {
	for _, entry := range done {
		if entry.Kind() == script.KindParse && strings.HasPrefix(entry.Name(), sharedPrefix) {
			c.names.add(entry.Name())
		}
	}
}

// clean reports whether the connection may be given on.
func (c *conn) clean() bool { return !c.altered && c.Waiting() == 0 }
