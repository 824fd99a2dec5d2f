package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"net/http"
	"strings"
)

// errOperatorSetting describes the form of the setting that ParseOperators parses.
var errOperatorSetting = errors.New("want name=hash or hash, with the SHA-256 of the token in hexadecimal digits")

// defaultOperator is the name of an operator whose entry in the setting has none.
const defaultOperator = "operator"

// Operator is the name of a person or program that may use the administration API, and
// the hash of its token.
type Operator struct {
	name string
	hash [sha256.Size]byte
}

// ParseOperators parses a setting of the form "anna=HASH,peter=HASH". Each hash is the
// SHA-256 of a token in hexadecimal digits. An entry without a name is called "operator".
// An empty text gives no operators.
func ParseOperators(text string) ([]Operator, error) {
	var operators []Operator
	for _, part := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' }) {
		name, digits, named := strings.Cut(strings.TrimSpace(part), "=")
		if !named {
			name, digits = defaultOperator, name
		}
		hash, err := hex.DecodeString(digits)
		if err != nil || len(hash) != sha256.Size || name == "" {
			return nil, errOperatorSetting
		}
		operators = append(operators, Operator{name: name, hash: [sha256.Size]byte(hash)})
	}
	return operators, nil
}

// authenticate returns the name of the operator whose token a request carries, and false
// if there is none. It compares the token with that of every operator, so that the duration
// doesn't reveal which one matched.
func (s *Server) authenticate(r *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", false
	}
	hash := sha256.Sum256([]byte(token))
	name, found := "", false
	for _, operator := range s.config.Operators {
		if subtle.ConstantTimeCompare(operator.hash[:], hash[:]) == 1 {
			name, found = operator.name, true
		}
	}
	return name, found
}
