package caller

import (
	"bytes"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// batch collects what a caller sends up to and with a Query or Sync.
type batch struct {
	messages []pgproto3.FrontendMessage
	bytes    int
}

// reset empties the batch. The old messages stay valid for who holds them.
func (b *batch) reset() {
	b.messages = nil
	b.bytes = 0
}

// add appends a copy of m. pgproto3 reuses the memory of a received message for the
// next one, so a batch that kept the pointers would send the last Bind many times.
func (b *batch) add(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Bind:
		c := *m
		c.Parameters = make([][]byte, len(m.Parameters))
		for i, p := range m.Parameters {
			c.Parameters[i] = bytes.Clone(p)
			b.bytes += len(p)
		}
		b.messages = append(b.messages, &c)
	case *pgproto3.Parse:
		c := *m
		b.bytes += len(m.Query)
		b.messages = append(b.messages, &c)
	case *pgproto3.Describe:
		c := *m
		b.messages = append(b.messages, &c)
	case *pgproto3.Execute:
		c := *m
		b.messages = append(b.messages, &c)
	case *pgproto3.Close:
		c := *m
		b.messages = append(b.messages, &c)
	case *pgproto3.Query:
		c := *m
		b.bytes += len(m.String)
		b.messages = append(b.messages, &c)
	case *pgproto3.Sync:
		b.messages = append(b.messages, &pgproto3.Sync{})
	}
}

// executes reports whether the batch runs anything. A batch that only prepares or
// describes statements spends no token.
func (b *batch) executes() bool {
	for _, m := range b.messages {
		switch m := m.(type) {
		case *pgproto3.Execute:
			return true
		case *pgproto3.Query:
			return strings.TrimSpace(m.String) != ""
		}
	}
	return false
}
