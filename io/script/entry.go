package script

import "github.com/jackc/pgx/v5/pgproto3"

// Entry is one message of a script that has an answer.
type Entry struct {
	kind    Kind
	name    string
	forward bool
	show    bool
}

// EntryConfig holds the parts of an entry.
type EntryConfig struct {
	// Kind is the kind of the message.
	Kind Kind
	// Name is the statement's name in a Parse or in a Close of a statement.
	Name string
	// Forward is false when the server never gets the message. Its answer is
	// then made up at its place; only KindParse and KindClose allow that.
	Forward bool
	// Show is false when the answer must not be passed on. An ErrorResponse is
	// passed on in any case, but for hidden queries.
	Show bool
}

// NewEntry returns the entry with the given parts.
func NewEntry(c EntryConfig) Entry {
	return Entry{kind: c.Kind, name: c.Name, forward: c.Forward, show: c.Show}
}

// EntryOf returns the entry for a message that is forwarded and shown, and false
// for a message without an answer of its own.
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

// Name returns the name of the statement that a Parse or Close is about.
func (e Entry) Name() string { return e.name }

// Forward reports whether the server gets the message.
func (e Entry) Forward() bool { return e.forward }

// Show reports whether the answer is passed on.
func (e Entry) Show() bool { return e.show }

// Hidden returns the entry with its answer left out.
func (e Entry) Hidden() Entry {
	e.show = false
	return e
}

// Withheld returns the entry with its message not forwarded.
func (e Entry) Withheld() Entry {
	e.forward = false
	return e
}

// madeUp returns the answer of a message that was not forwarded.
func (e Entry) madeUp() pgproto3.BackendMessage {
	if e.kind == KindClose {
		return &pgproto3.CloseComplete{}
	}
	return &pgproto3.ParseComplete{}
}
