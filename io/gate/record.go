package gate

import (
	"encoding/base64"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// maxRecordedBytes is the size of the largest answer that is recorded.
const maxRecordedBytes = 64 * 1024

// answerNotRecorded is what gateways of older builds recorded in place of an answer that was
// too large, or that was partly passed on before it was complete.
const answerNotRecorded = "-"

// SQLSTATEs in connection with recorded outcomes.
const (
	sqlstateUniqueViolation = "23505"
	sqlstateUndefinedTable  = "42P01"
	// sqlstateInvalidParameter is sent to a caller whose request id was used for another
	// request.
	sqlstateInvalidParameter = "22023"
)

// outcomeRecord identifies the row of the table request_outcomes that holds the outcome of
// one request.
type outcomeRecord struct {
	account     string
	id          string
	fingerprint string
	// digest is the result of digestOfRequest. It is recorded within the answer, where gateways
	// of older builds ignore it.
	digest string
}

// beginSQL begins a transaction and inserts the row. Only one transaction with that row can
// be committed.
func (r outcomeRecord) beginSQL() (string, error) {
	answer, err := r.encodeNotKept()
	return fmt.Sprintf("BEGIN; INSERT INTO request_outcomes (account, request_id, fingerprint, answer) VALUES (%s, %s, %s, %s)",
		quoteLiteral(r.account), quoteLiteral(r.id), quoteLiteral(r.fingerprint), quoteLiteral(answer)), err
}

// commitSQL adds the answer to the row and commits the transaction.
func (r outcomeRecord) commitSQL(answer string) string {
	return fmt.Sprintf("UPDATE request_outcomes SET answer = %s WHERE account = %s AND request_id = %s AND fingerprint = %s; COMMIT",
		quoteLiteral(answer), quoteLiteral(r.account), quoteLiteral(r.id), quoteLiteral(r.fingerprint))
}

// selectSQL reads the row of an earlier execution of the request.
func (r outcomeRecord) selectSQL() string {
	return fmt.Sprintf("SELECT fingerprint, answer FROM request_outcomes WHERE account = %s AND request_id = %s",
		quoteLiteral(r.account), quoteLiteral(r.id))
}

// quoteLiteral returns text as an SQL string literal.
func quoteLiteral(text string) string { return "'" + strings.ReplaceAll(text, "'", "''") + "'" }

// decodeAnswer returns the encoded messages that answer a request which was executed
// before. They are an ErrorResponse if the row belongs to another request with the same id,
// or if it has no answer.
func (r outcomeRecord) decodeAnswer(row []string) ([]byte, error) {
	if len(row) != 2 {
		return nil, fmt.Errorf("recorded outcome has %d columns", len(row))
	}
	if row[0] != r.fingerprint {
		return answerOtherRequest()
	}
	if row[1] == "" || row[1] == answerNotRecorded {
		return answerNotKept()
	}
	recorded, err := base64.StdEncoding.DecodeString(row[1])
	if err != nil {
		return nil, fmt.Errorf("recorded answer: %w", err)
	}
	answer, digest := cutDigest(recorded)
	if digest != "" && digest != r.digest {
		return answerOtherRequest()
	}
	return answer, nil
}

// answerOtherRequest returns the encoded error for a request whose id was used before.
func answerOtherRequest() ([]byte, error) {
	return encodeError(sqlstateInvalidParameter, "the request id was used for another request")
}

// encodeError returns an encoded ErrorResponse.
func encodeError(code, text string) ([]byte, error) {
	m := &pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: text}
	return m.Encode(nil)
}
