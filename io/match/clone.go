package match

import (
	"bytes"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Clone returns a copy of a message that shares no memory with the buffer that the
// message was read from. A reader reuses both the message and the buffer for the next
// message, so a batch that kept the pointers would send its last Bind several times. It
// returns an error for a message that can't be part of a batch.
func Clone(m pgproto3.FrontendMessage) (pgproto3.FrontendMessage, error) {
	switch m := m.(type) {
	case *pgproto3.Query:
		return cloneShallow(m), nil
	case *pgproto3.Parse:
		return cloneShallow(m), nil
	case *pgproto3.Bind:
		return cloneBind(m), nil
	case *pgproto3.Describe:
		return cloneShallow(m), nil
	case *pgproto3.Execute:
		return cloneShallow(m), nil
	case *pgproto3.Close:
		return cloneShallow(m), nil
	case *pgproto3.Sync:
		return &pgproto3.Sync{}, nil
	case *pgproto3.Flush:
		return &pgproto3.Flush{}, nil
	}
	return nil, fmt.Errorf("a batch can't hold a %T", m)
}

// cloneShallow copies a message whose fields are strings, numbers and slices that the reader
// allocates for each message.
func cloneShallow[T any](m *T) *T {
	c := *m
	return &c
}

// cloneBind also copies the parameters, which lie in the reader's buffer. A nil parameter,
// which means NULL, stays nil.
func cloneBind(m *pgproto3.Bind) *pgproto3.Bind {
	c := cloneShallow(m)
	c.Parameters = make([][]byte, len(m.Parameters))
	for i, p := range m.Parameters {
		c.Parameters[i] = bytes.Clone(p)
	}
	return c
}
