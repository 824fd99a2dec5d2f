package gate

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"
)

// fingerprint returns a hash by which different requests with the same id are detected. Its
// form is that of all builds; digestOfRequest detects what it misses. It covers the kinds of the
// messages, the texts of the statements and their parameters, but not the names of statements and
// portals.
func fingerprint(messages []pgproto3.FrontendMessage) string {
	digest := xxhash.New()
	f := fingerprinter{framer: framer{digest}, texts: map[string]string{}}
	for _, m := range messages {
		f.add(m)
	}
	return strconv.FormatUint(digest.Sum64(), 16)
}

// fingerprinter computes the hash of one batch.
type fingerprinter struct {
	framer
	// texts holds the texts of the statements that the batch parses, by statement name.
	texts map[string]string
}

func (f *fingerprinter) add(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Query:
		f.text("Q")
		f.text(m.String)
	case *pgproto3.Parse:
		f.texts[m.Name] = m.Query
	case *pgproto3.Bind:
		f.bind(m)
	case *pgproto3.Describe:
		f.text("D")
	case *pgproto3.Execute:
		f.text("E")
		f.number(int64(m.MaxRows))
	}
}

func (f *fingerprinter) bind(m *pgproto3.Bind) {
	f.text("B")
	text, parsed := f.texts[m.PreparedStatement]
	if !parsed {
		text = m.PreparedStatement
	}
	f.text(text)
	f.parameters(m)
}
