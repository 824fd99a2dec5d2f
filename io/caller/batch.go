package caller

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/io/match"
)

// batch collects the messages of a caller up to and including a Query or Sync.
type batch struct {
	messages []pgproto3.FrontendMessage
	// bytes is the sum of sizeOf over messages.
	bytes int
}

// reset empties the batch. It doesn't reuse the slice of messages, so copies of it stay
// valid.
func (b *batch) reset() {
	b.messages = nil
	b.bytes = 0
}

// add appends a copy of m. A message that can't be part of a batch, such as CopyData
// outside a COPY, is ignored, as PostgreSQL does.
func (b *batch) add(m pgproto3.FrontendMessage) {
	copied, err := match.Clone(m)
	if err != nil {
		return
	}
	b.messages = append(b.messages, copied)
	b.bytes += sizeOf(m)
}

// sizeOf returns an upper bound of the bytes of a message that is sent to a gateway, also
// with a shared name in place of the caller's.
func sizeOf(m pgproto3.FrontendMessage) int {
	size := messageOverhead
	switch m := m.(type) {
	case *pgproto3.Bind:
		size += len(m.PreparedStatement) + len(m.DestinationPortal)
		size += 2 * (len(m.ParameterFormatCodes) + len(m.ResultFormatCodes))
		for _, p := range m.Parameters {
			size += 4 + len(p)
		}
	case *pgproto3.Parse:
		size += len(m.Name) + len(m.Query) + 4*len(m.ParameterOIDs)
	case *pgproto3.Query:
		size += len(m.String)
	case *pgproto3.Describe:
		size += len(m.Name)
	case *pgproto3.Execute:
		size += len(m.Portal)
	case *pgproto3.Close:
		size += len(m.Name)
	}
	return size
}

// executes reports whether the batch executes a statement. A batch that only prepares or
// describes statements costs no token.
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
