package caller

import (
	"encoding/base64"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/io/wire"
)

const (
	// maxPrepared bounds the prepared statements of one session.
	maxPrepared = 1000
	// maxPreparedBytes bounds their messages, by sizeOf. The entry adds them to the batches that
	// use them.
	maxPreparedBytes = wire.MaxBatchBytes - maxBatchBytes
	// sharedPrefix begins the shared name of every prepared statement. Gateways recognize
	// shared statements by the same prefix.
	sharedPrefix = "pf_"
)

// preparedStatement is one prepared statement of a session.
type preparedStatement struct {
	// parse is the caller's message, with the caller's name of the statement.
	parse *pgproto3.Parse
	// shared is the name of the statement between entry and gateway.
	shared string
}

// preparedStatements holds the prepared statements of one session. The units of a session
// run on many connections to backend servers, so the entry sends the Parse of a statement
// ahead of each batch that uses it, under its shared name.
type preparedStatements struct {
	// byName holds the statements by the caller's name.
	byName map[string]preparedStatement
	// bytes is the sum of sizeOf over the messages in byName.
	bytes int
}

func newPreparedStatements() *preparedStatements {
	return &preparedStatements{byName: map[string]preparedStatement{}}
}

// sharedName returns the name of a statement between entry and gateway. It is a digest of
// the text and the parameter types, so sessions that prepare the same statement share it,
// and no caller can make a statement with the name of another one. It has at most 63 bytes,
// as PostgreSQL truncates longer names in SQL texts.
// The unnamed statement stays unnamed: callers rarely use it twice, and with a name for
// each text the connections to backend servers would accumulate statements.
func sharedName(p *pgproto3.Parse) string {
	if p.Name == "" {
		return ""
	}
	digest := wire.StatementDigest(p)
	return sharedPrefix + base64.RawURLEncoding.EncodeToString(digest[:])
}

// put stores a statement, in place of the one that has its name. It returns an error for the
// caller if the session already has maxPrepared others, or maxPreparedBytes with it.
func (s *preparedStatements) put(p *pgproto3.Parse) *pgproto3.ErrorResponse {
	replaced, known := s.byName[p.Name]
	if !known && len(s.byName) >= maxPrepared {
		return newErrorResponse("53400", "more than %d prepared statements in one session", maxPrepared)
	}
	bytes := s.bytes + sizeOf(p)
	if known {
		bytes -= sizeOf(replaced.parse)
	}
	if bytes > maxPreparedBytes {
		return newErrorResponse("53400", "more than %d bytes of prepared statements in one session", maxPreparedBytes)
	}
	s.bytes = bytes
	s.byName[p.Name] = preparedStatement{parse: p, shared: sharedName(p)}
	return nil
}

// get returns the Parse message of the statement that has this name in the session.
func (s *preparedStatements) get(name string) (*pgproto3.Parse, bool) {
	statement, ok := s.byName[name]
	return statement.parse, ok
}

// shared returns the shared name of a statement of the session.
func (s *preparedStatements) shared(name string) string { return s.byName[name].shared }

func (s *preparedStatements) remove(name string) {
	if statement, known := s.byName[name]; known {
		s.bytes -= sizeOf(statement.parse)
		delete(s.byName, name)
	}
}

func (s *preparedStatements) clear() {
	clear(s.byName)
	s.bytes = 0
}
