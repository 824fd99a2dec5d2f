package gate

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"
)

// fingerprint tells batches apart that bear the same request id. It covers the
// kinds of the messages, the texts of the statements and their parameters, but not
// the names of statements and portals.
func fingerprint(messages []pgproto3.FrontendMessage) string {
	p := printer{digest: xxhash.New(), texts: map[string]string{}}
	for _, m := range messages {
		p.add(m)
	}
	return strconv.FormatUint(p.digest.Sum64(), 16)
}

// printer gathers what a fingerprint covers.
type printer struct {
	digest *xxhash.Digest
	// texts are the statements that the batch parses, by their names.
	texts map[string]string
}

func (p *printer) add(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Query:
		p.text("Q")
		p.text(m.String)
	case *pgproto3.Parse:
		p.texts[m.Name] = m.Query
	case *pgproto3.Bind:
		p.bind(m)
	case *pgproto3.Describe:
		p.text("D")
	case *pgproto3.Execute:
		p.text("E")
		p.number(int64(m.MaxRows))
	}
}

func (p *printer) bind(m *pgproto3.Bind) {
	p.text("B")
	text, parsed := p.texts[m.PreparedStatement]
	if !parsed {
		text = m.PreparedStatement
	}
	p.text(text)
	p.codes(m.ParameterFormatCodes)
	p.number(int64(len(m.Parameters)))
	for _, value := range m.Parameters {
		if value == nil {
			p.number(-1)
			continue
		}
		p.text(string(value))
	}
	p.codes(m.ResultFormatCodes)
}

func (p *printer) codes(codes []int16) {
	p.number(int64(len(codes)))
	for _, code := range codes {
		p.number(int64(code))
	}
}

// text adds a string with its length, so that no two lists of strings look alike.
func (p *printer) text(s string) {
	p.number(int64(len(s)))
	_, _ = p.digest.WriteString(s)
}

func (p *printer) number(n int64) {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], uint64(n))
	_, _ = p.digest.Write(raw[:])
}
