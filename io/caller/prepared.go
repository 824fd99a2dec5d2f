package caller

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// maxPrepared bounds the statements that one session keeps prepared.
	maxPrepared = 1000
	// preparedPrefix starts every name of a statement between entry and gateway.
	preparedPrefix = "pf_"
)

// prepared keeps the statements of one session. The session's transactions run on
// many connections, so a statement is prepared again wherever it is used: its Parse
// travels ahead of each batch that uses it, under a name made from its text.
type prepared struct {
	byName map[string]*pgproto3.Parse
}

func newPrepared() *prepared {
	return &prepared{byName: map[string]*pgproto3.Parse{}}
}

// globalName returns the name of a statement between entry and gateway. Sessions that
// prepare the same text share it. The unnamed statement stays unnamed, since nobody
// uses it twice as a rule and each text would fill the connections' memory.
func globalName(p *pgproto3.Parse) string {
	if p.Name == "" {
		return ""
	}
	h := xxhash.New()
	_, _ = h.WriteString(p.Query)
	for _, oid := range p.ParameterOIDs {
		_, _ = fmt.Fprintf(h, "/%d", oid)
	}
	return fmt.Sprintf("%s%016x_%d", preparedPrefix, h.Sum64(), len(p.Query))
}

// keep remembers a statement. It reports false when the session has too many.
func (s *prepared) keep(p *pgproto3.Parse) bool {
	if _, known := s.byName[p.Name]; !known && len(s.byName) >= maxPrepared {
		return false
	}
	s.byName[p.Name] = p
	return true
}

// get returns a statement by the caller's name for it.
func (s *prepared) get(name string) (*pgproto3.Parse, bool) {
	p, ok := s.byName[name]
	return p, ok
}

// drop forgets a statement.
func (s *prepared) drop(name string) { delete(s.byName, name) }

// clear forgets every statement.
func (s *prepared) clear() { clear(s.byName) }
