package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"net/http"
	"strings"
)

// errOperators says what the setting for operators looks like.
var errOperators = errors.New("want name=hash or hash, with the SHA-256 of the token in hexadecimal digits")

// defaultOperator is the name of an operator that the setting gives no name.
const defaultOperator = "operator"

// Operator is one who may call the administration API.
type Operator struct {
	name string
	hash [sha256.Size]byte
}

// ParseOperators reads a setting like "anna=HASH,peter=HASH". An empty text gives
// no operators.
func ParseOperators(text string) ([]Operator, error) {
	var operators []Operator
	for _, part := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' }) {
		name, digits, named := strings.Cut(strings.TrimSpace(part), "=")
		if !named {
			name, digits = defaultOperator, name
		}
		hash, err := hex.DecodeString(digits)
		if err != nil || len(hash) != sha256.Size || name == "" {
			return nil, errOperators
		}
		operators = append(operators, Operator{name: name, hash: [sha256.Size]byte(hash)})
	}
	return operators, nil
}

// operator returns the name of who makes a request. It compares with every
// operator, so that the time taken doesn't tell which one matched.
func (s *Server) operator(r *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", false
	}
	hash := sha256.Sum256([]byte(token))
	name, found := "", false
	for _, one := range s.config.Operators {
		if subtle.ConstantTimeCompare(one.hash[:], hash[:]) == 1 {
			name, found = one.name, true
		}
	}
	return name, found
}
