package gate

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"
)

// fingerprint returns a hash by which different requests with the same id are detected. Its
// form is that of all builds; digestOfRequest detects what it misses. It
// covers the kinds of the messages, the texts of the statements and their parameters, but
// not the names of statements and portals.
func fingerprint(messages []pgproto3.FrontendMessage) string {
	f := fingerprinter{digest: xxhash.New(), texts: map[string]string{}}
	for _, m := range messages {
		f.add(m)
	}
	return strconv.FormatUint(f.digest.Sum64(), 16)
}

// fingerprinter computes the hash of one batch.
type fingerprinter struct {
	digest *xxhash.Digest
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
	f.codes(m.ParameterFormatCodes)
	f.number(int64(len(m.Parameters)))
	for _, value := range m.Parameters {
		if value == nil {
			f.number(-1)
			continue
		}
		f.text(string(value))
	}
	f.codes(m.ResultFormatCodes)
}

func (f *fingerprinter) codes(codes []int16) {
	f.number(int64(len(codes)))
	for _, code := range codes {
		f.number(int64(code))
	}
}

// text adds a string with its length, so that different lists of strings can't have the
// same encoding.
func (f *fingerprinter) text(s string) {
	f.number(int64(len(s)))
	_, _ = f.digest.WriteString(s)
}

func (f *fingerprinter) number(n int64) {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], uint64(n))
	_, _ = f.digest.Write(raw[:])
}
