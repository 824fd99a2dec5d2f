package gate

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// parameterRequest names the ParameterStatus that ends a recorded answer and holds the digest
// of the request. Gateways of older builds neither write nor look for it, and pass it on.
const parameterRequest = "pomelofork.request"

// encodeAnswer returns the text that is recorded for the answer to a request. An answer above
// maxRecordedBytes is replaced by the error that answerNotKept returns.
func (r outcomeRecord) encodeAnswer(answer []byte) (string, error) {
	if len(answer) > maxRecordedBytes {
		return r.encodeNotKept()
	}
	status := &pgproto3.ParameterStatus{Name: parameterRequest, Value: r.digest}
	recorded, err := status.Encode(append([]byte(nil), answer...))
	if err != nil {
		return "", fmt.Errorf("recorded answer: %w", err)
	}
	return base64.StdEncoding.EncodeToString(recorded), nil
}

// encodeNotKept returns the text that is recorded while there is no answer, or in place of one
// that isn't kept.
func (r outcomeRecord) encodeNotKept() (string, error) {
	answer, err := answerNotKept()
	if err != nil {
		return "", err
	}
	return r.encodeAnswer(answer)
}

// answerNotKept returns the encoded error for a request that was done before and whose answer
// isn't known.
func answerNotKept() ([]byte, error) {
	return encodeError(sqlstateUniqueViolation, "the request was done before; its answer was not kept")
}

// cutDigest splits a recorded answer into the messages for the caller and the digest of the
// request. The digest is empty if a gateway of an older build recorded the answer.
func cutDigest(recorded []byte) ([]byte, string) {
	last, end := 0, 0
	for end+5 <= len(recorded) {
		last = end
		if end += 1 + int(binary.BigEndian.Uint32(recorded[end+1:])); end <= last+4 || end > len(recorded) {
			return recorded, ""
		}
	}
	var status pgproto3.ParameterStatus
	if end != len(recorded) || end == 0 || recorded[last] != 'S' || status.Decode(recorded[last+5:]) != nil || status.Name != parameterRequest {
		return recorded, ""
	}
	return recorded[:last], status.Value
}
