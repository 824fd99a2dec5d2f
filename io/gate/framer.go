package gate

import (
	"encoding/binary"
	"hash"

	"github.com/jackc/pgx/v5/pgproto3"
)

// framer adds values to a hash, each with its length or in a fixed size, so that different lists of values can't
// have the same encoding.
type framer struct{ digest hash.Hash }

// parameters adds the parameters of a Bind and the formats of parameters and results.
func (f framer) parameters(m *pgproto3.Bind) {
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

func (f framer) codes(codes []int16) {
	f.number(int64(len(codes)))
	for _, code := range codes {
		f.number(int64(code))
	}
}

// text adds a string with its length.
func (f framer) text(s string) {
	f.number(int64(len(s)))
	_, _ = f.digest.Write([]byte(s))
}

func (f framer) number(n int64) {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], uint64(n))
	_, _ = f.digest.Write(raw[:])
}
