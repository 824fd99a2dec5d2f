package gate

import (
	"encoding/base64"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// recordBytes bounds the answer that is kept with the outcome of a request.
const recordBytes = 64 * 1024

// notKept stands in place of an answer that isn't kept.
const notKept = "-"

// The SQLSTATEs around recorded outcomes.
const (
	stateDuplicate = "23505"
	stateNoTable   = "42P01"
	// stateOtherRequest answers a request id that another request has used.
	stateOtherRequest = "22023"
)

// record is the row that the outcome of one request is kept in.
type record struct {
	account     string
	id          string
	fingerprint string
}

// begin opens a transaction that can be committed only once for the request.
func (r record) begin() string {
	return fmt.Sprintf("BEGIN; INSERT INTO request_outcomes (account, request_id, fingerprint) VALUES (%s, %s, %s)",
		quote(r.account), quote(r.id), quote(r.fingerprint))
}

// commit keeps the answer and ends the transaction.
func (r record) commit(answer string) string {
	return fmt.Sprintf("UPDATE request_outcomes SET answer = %s WHERE account = %s AND request_id = %s AND fingerprint = %s; COMMIT",
		quote(answer), quote(r.account), quote(r.id), quote(r.fingerprint))
}

// lookUp reads the outcome of the request.
func (r record) lookUp() string {
	return fmt.Sprintf("SELECT fingerprint, answer FROM request_outcomes WHERE account = %s AND request_id = %s",
		quote(r.account), quote(r.id))
}

// quote returns a string literal.
func quote(text string) string { return "'" + strings.ReplaceAll(text, "'", "''") + "'" }

// encodeAnswer returns the text in which an answer is kept.
func encodeAnswer(answer []byte) string {
	if len(answer) > recordBytes {
		return notKept
	}
	return base64.StdEncoding.EncodeToString(answer)
}

// recorded returns the messages that answer a request that was done before.
func (r record) recorded(row []string) ([]byte, error) {
	if len(row) != 2 {
		return nil, fmt.Errorf("recorded outcome has %d columns", len(row))
	}
	if row[0] != r.fingerprint {
		return encodeError(stateOtherRequest, "the request id was used for another request")
	}
	if row[1] == "" || row[1] == notKept {
		return encodeError(stateDuplicate, "the request was done before; its answer was not kept")
	}
	return base64.StdEncoding.DecodeString(row[1])
}

func encodeError(code, text string) ([]byte, error) {
	m := &pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: text}
	return m.Encode(nil)
}
