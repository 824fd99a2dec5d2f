package match

import "github.com/jackc/pgx/v5/pgproto3"

// Entry describes one frontend message in a Queue. Only messages that have an answer of
// their own get an entry.
type Entry struct {
	kind    Kind
	name    string
	forward bool
	show    bool
}

// EntryConfig holds the properties of an entry.
type EntryConfig struct {
	// Kind is the kind of the message.
	Kind Kind
	// Name is the name of the prepared statement in a Parse or in a Close of a
	// statement, and empty for other messages.
	Name string
	// Forward is false if the message isn't sent to the server. The queue then
	// supplies the answer; it can do so for KindParse and KindClose only.
	Forward bool
	// Show is false if the answer must not be passed on. An ErrorResponse is passed
	// on nevertheless, unless Kind is KindQuery.
	Show bool
}

// NewEntry returns the entry with the given properties.
func NewEntry(c EntryConfig) Entry {
	return Entry{kind: c.Kind, name: c.Name, forward: c.Forward, show: c.Show}
}

// EntryOf returns the entry of a message that is sent to the server and whose answer is
// passed on. It returns false for a message without an answer of its own, such as Flush.
func EntryOf(m pgproto3.FrontendMessage) (Entry, bool) {
	entry := Entry{forward: true, show: true}
	switch m := m.(type) {
	case *pgproto3.Query, *pgproto3.FunctionCall:
		entry.kind = KindQuery
	case *pgproto3.Parse:
		entry.kind, entry.name = KindParse, m.Name
	case *pgproto3.Bind:
		entry.kind = KindBind
	case *pgproto3.Describe:
		entry.kind = describeKind(m.ObjectType)
	case *pgproto3.Execute:
		entry.kind = KindExecute
	case *pgproto3.Close:
		entry.kind = KindClose
		if m.ObjectType == 'S' {
			entry.name = m.Name
		}
	case *pgproto3.Sync:
		entry.kind = KindSync
	default:
		return Entry{}, false
	}
	return entry, true
}

func describeKind(objectType byte) Kind {
	if objectType == 'S' {
		return KindDescribeStatement
	}
	return KindDescribePortal
}

// Kind returns the kind of the message.
func (e Entry) Kind() Kind { return e.kind }

// Name returns the name of the prepared statement in a Parse or Close. It is empty for
// the unnamed statement and for other messages.
func (e Entry) Name() string { return e.name }

// Forward reports whether the message is sent to the server.
func (e Entry) Forward() bool { return e.forward }

// Show reports whether the answer is passed on.
func (e Entry) Show() bool { return e.show }

// Hidden returns a copy of the entry whose answer isn't passed on.
func (e Entry) Hidden() Entry {
	e.show = false
	return e
}

// Withheld returns a copy of the entry whose message isn't sent to the server.
func (e Entry) Withheld() Entry {
	e.forward = false
	return e
}

// syntheticAnswer returns the answer that the server would have given to a withheld message.
func (e Entry) syntheticAnswer() pgproto3.BackendMessage {
	if e.kind == KindClose {
		return &pgproto3.CloseComplete{}
	}
	return &pgproto3.ParseComplete{}
}
