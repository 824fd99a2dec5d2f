package wire

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"
)

// StatementDigest returns a digest of the text and the parameter types of a prepared
// statement, without its name. Sessions of different client accounts share statements by it,
// so it has to resist callers who look for two statements with one digest.
func StatementDigest(p *pgproto3.Parse) [sha256.Size]byte {
	digest := sha256.New()
	size := binary.BigEndian.AppendUint64(nil, uint64(len(p.Query)))
	_, _ = digest.Write(size)
	_, _ = digest.Write([]byte(p.Query))
	for _, oid := range p.ParameterOIDs {
		_, _ = digest.Write(binary.BigEndian.AppendUint32(nil, oid))
	}
	return [sha256.Size]byte(digest.Sum(nil))
}
