package gate

import (
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/core/model"
	"pomelofork/io/dbconn"
	"pomelofork/io/match"
	"pomelofork/io/wire"
)

// sharedPrefix begins the names of the prepared statements that are parsed once for each
// connection and used by all sessions. Package caller gives statements such names.
const sharedPrefix = "pf_"

// Statements that switch a connection between read-only and read-write mode.
const (
	setReadOnly  = "SET default_transaction_read_only = on"
	setReadWrite = "SET default_transaction_read_only = off"
)

// conn is one connection to a backend server.
type conn struct {
	*dbconn.Conn
	// cancel can send a cancel request for the connection. It must not be used otherwise.
	cancel *pgconn.PgConn
	// statements are the shared prepared statements that the server has for the connection.
	statements *statementCache
	// parsing holds the shared statements of the batch whose Parse was sent and not answered
	// yet, in the order of the messages.
	parsing  []sharedStatement
	readOnly bool
	// altered says that the state of the connection may have changed beyond a
	// transaction. The connection must then be closed instead of reused.
	altered bool
	// account is the client account whose unit uses the connection, or used it last.
	account model.AccountID
	// writes says that a unit that may write uses the connection.
	writes bool
}

func newConn(l *dbconn.Conn, cancel *pgconn.PgConn, readOnly bool) *conn {
	return &conn{Conn: l, cancel: cancel, statements: newStatementCache(maxSharedStatements), readOnly: readOnly}
}

// prepare adds the messages that must precede a batch: those that switch the mode and
// those that close surplus statements.
func (c *conn) prepare(readOnly bool) error {
	if err := c.setMode(readOnly); err != nil {
		return err
	}
	return c.closeSurplus()
}

// addBatch adds the messages of a batch.
func (c *conn) addBatch(messages []pgproto3.FrontendMessage) error {
	c.parsing = nil
	for _, m := range messages {
		if err := c.addMessage(m); err != nil {
			return err
		}
	}
	return nil
}

// setMode switches the connection to read-only or read-write mode if it is in the other
// one.
func (c *conn) setMode(readOnly bool) error {
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

// closeSurplus closes the shared statements above maxSharedStatements.
func (c *conn) closeSurplus() error {
	for _, name := range c.statements.evictSurplus() {
		if err := c.addHidden(&pgproto3.Close{ObjectType: 'S', Name: name}); err != nil {
			return err
		}
	}
	return nil
}

// addHidden adds a message whose answer isn't passed on to the caller.
func (c *conn) addHidden(m pgproto3.FrontendMessage) error {
	entry, _ := match.EntryOf(m)
	return c.AddAs(entry.Hidden(), m)
}

// addMessage adds one message of a caller. A shared statement is parsed once for each
// connection, and a caller's request to close one is not sent.
func (c *conn) addMessage(m pgproto3.FrontendMessage) error {
	entry, _ := match.EntryOf(m)
	if !strings.HasPrefix(entry.Name(), sharedPrefix) {
		return c.Add(m)
	}
	switch entry.Kind() {
	case match.KindClose:
		return c.AddAs(entry.Withheld(), m)
	case match.KindParse:
		return c.addSharedParse(entry, m.(*pgproto3.Parse))
	}
	return c.Add(m)
}

// addSharedParse adds the Parse message of a shared statement. It is not sent if the
// connection already has the statement. If the connection has another statement of that name,
// or may have one, that is closed first.
func (c *conn) addSharedParse(entry match.Entry, m *pgproto3.Parse) error {
	wanted := sharedStatement{name: entry.Name(), digest: wire.StatementDigest(m)}
	present, found := c.presentDigest(wanted.name)
	if found && present == wanted.digest && !c.altered {
		return c.AddAs(entry.Withheld(), m)
	}
	// The caller of an altered connection may have deallocated or replaced the statement.
	if found || c.altered {
		if err := c.addHidden(&pgproto3.Close{ObjectType: 'S', Name: wanted.name}); err != nil {
			return err
		}
	}
	c.parsing = append(c.parsing, wanted)
	return c.AddAs(entry, m)
}

// presentDigest returns the digest of the statement that has this name when the server has
// processed the messages that were added so far. It returns false if there is none.
func (c *conn) presentDigest(name string) (statementDigest, bool) {
	for _, s := range slices.Backward(c.parsing) {
		if s.name == name {
			return s.digest, true
		}
	}
	return c.statements.use(name)
}

// recordParsed records the shared statements that the server has parsed or closed.
func (c *conn) recordParsed(done []match.Entry) {
	for _, entry := range done {
		if !entry.Forward() || !strings.HasPrefix(entry.Name(), sharedPrefix) {
			continue
		}
		if entry.Kind() == match.KindClose {
			c.statements.remove(entry.Name())
			continue
		}
		// The server answers in the order of the messages, and skips the rest after an error.
		c.statements.add(c.parsing[0])
		c.parsing = c.parsing[1:]
	}
}

// clean reports whether another unit may use the connection.
func (c *conn) clean() bool { return !c.altered && c.PendingAnswers() == 0 }
