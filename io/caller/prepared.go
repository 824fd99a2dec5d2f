package caller

import (
	"encoding/base64"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/io/wire"
)

const (
	// maxPrepared bounds the prepared statements of one session.
	maxPrepared = 1000
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

// put stores a statement. It returns false if the session already has maxPrepared others.
func (s *preparedStatements) put(p *pgproto3.Parse) bool {
	if _, known := s.byName[p.Name]; !known && len(s.byName) >= maxPrepared {
		return false
	}
	s.byName[p.Name] = preparedStatement{parse: p, shared: sharedName(p)}
	return true
}

// get returns the Parse message of the statement that has this name in the session.
func (s *preparedStatements) get(name string) (*pgproto3.Parse, bool) {
	statement, ok := s.byName[name]
	return statement.parse, ok
}

// shared returns the shared name of a statement of the session.
func (s *preparedStatements) shared(name string) string { return s.byName[name].shared }

func (s *preparedStatements) remove(name string) { delete(s.byName, name) }

func (s *preparedStatements) clear() { clear(s.byName) }
