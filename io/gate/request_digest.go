package gate

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/jackc/pgx/v5/pgproto3"
)

// digestOfRequest returns a digest by which different requests with the same id are detected,
// also if a caller constructed one for the fingerprint of the other. It covers the messages of
// a batch, the texts and parameter types of its statements, and which portals are used, but
// not the names of statements and portals.
func digestOfRequest(messages []pgproto3.FrontendMessage) string {
	d := requestDigest{framer: framer{sha256.New()}, statements: map[string]*pgproto3.Parse{}, portals: map[string]int64{}}
	for _, m := range messages {
		d.add(m)
	}
	return hex.EncodeToString(d.digest.Sum(nil))
}

// requestDigest computes the digest of one batch.
type requestDigest struct {
	framer
	// statements holds the Parse messages of the batch by statement name, and portals the
	// numbers of its portals in the order of their first use.
	statements map[string]*pgproto3.Parse
	portals    map[string]int64
}

func (d *requestDigest) add(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Query:
		d.text("Q")
		d.text(m.String)
	case *pgproto3.Parse:
		d.statements[m.Name] = m
	case *pgproto3.Bind:
		d.bind(m)
	case *pgproto3.Describe:
		d.text("D")
		d.object(m.ObjectType, m.Name)
	case *pgproto3.Execute:
		d.text("E")
		d.object('P', m.Portal)
		d.number(int64(m.MaxRows))
	case *pgproto3.Close:
		d.text("C")
		d.object(m.ObjectType, m.Name)
	}
}

func (d *requestDigest) bind(m *pgproto3.Bind) {
	d.text("B")
	d.object('S', m.PreparedStatement)
	d.object('P', m.DestinationPortal)
	d.parameters(m)
}

// object adds a prepared statement ('S') with its text and types, or the number of a portal
// ('P').
func (d *requestDigest) object(kind byte, name string) {
	d.number(int64(kind))
	if kind != 'S' {
		if _, known := d.portals[name]; !known {
			d.portals[name] = int64(len(d.portals))
		}
		d.number(d.portals[name])
		return
	}
	statement, parsed := d.statements[name]
	if !parsed {
		d.number(-1)
		d.text(name)
		return
	}
	d.text(statement.Query)
	d.number(int64(len(statement.ParameterOIDs)))
	for _, oid := range statement.ParameterOIDs {
		d.number(int64(oid))
	}
}
