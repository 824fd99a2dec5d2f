package script

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// headerBytes is the length of a message's type and size.
const headerBytes = 5

// Own returns a copy of a message that shares no memory with the buffer the
// message was read from. Readers reuse both messages and buffers.
func Own(m pgproto3.FrontendMessage) (pgproto3.FrontendMessage, error) {
	raw, err := m.Encode(nil)
	if err != nil {
		return nil, fmt.Errorf("copy %T: %w", m, err)
	}
	fresh, err := blank(m)
	if err != nil {
		return nil, err
	}
	if err := fresh.Decode(raw[headerBytes:]); err != nil {
		return nil, fmt.Errorf("copy %T: %w", m, err)
	}
	return fresh, nil
}

// blank returns an empty message of the same type.
func blank(m pgproto3.FrontendMessage) (pgproto3.FrontendMessage, error) {
	switch m.(type) {
	case *pgproto3.Query:
		return &pgproto3.Query{}, nil
	case *pgproto3.Parse:
		return &pgproto3.Parse{}, nil
	case *pgproto3.Bind:
		return &pgproto3.Bind{}, nil
	case *pgproto3.Describe:
		return &pgproto3.Describe{}, nil
	case *pgproto3.Execute:
		return &pgproto3.Execute{}, nil
	case *pgproto3.Close:
		return &pgproto3.Close{}, nil
	case *pgproto3.Sync:
		return &pgproto3.Sync{}, nil
	case *pgproto3.Flush:
		return &pgproto3.Flush{}, nil
	}
	return nil, fmt.Errorf("a batch can't hold a %T", m)
}
