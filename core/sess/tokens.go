package sess

import (
	"fmt"
	"strings"

	"pomelofork/core/model"
)

// MaxTextBytes is the largest size of the text form of the tokens of one session.
const MaxTextBytes = 64 * 1024

// newSession is the text by which a caller states that its session has written nothing
// yet.
const newSession = "new"

// anyService stands for every service that has no pair of its own.
const anyService model.ServiceID = "*"

// Tokens holds the token of each service for one session that callers carry from one connection to another.
type Tokens = Points[Joined]

// Parse decodes the form that String writes, or "new" for a session that has written
// nothing at any service. For an empty text, the token of every service is unknown.
// Callers of the proxy get the text of its errors.
func Parse(text string) (Tokens, error) {
	if len(text) > MaxTextBytes {
		return Tokens{}, fmt.Errorf("session token: %d bytes, at most %d", len(text), MaxTextBytes)
	}
	if text == newSession {
		return NewPoints[Joined](), nil
	}
	tokens, seen := Tokens{}, map[model.ServiceID]bool{}
	if text == "" {
		return tokens, nil
	}
	for text := range strings.SplitSeq(text, ",") {
		parsed, err := parsePair(text)
		if err != nil {
			return Tokens{}, err
		}
		if seen[parsed.service] {
			return Tokens{}, fmt.Errorf("session token: service %q stands twice", parsed.service)
		}
		seen[parsed.service] = true
		if parsed.service == anyService {
			tokens.wroteNothing = true
			continue
		}
		tokens.pairs = append(tokens.pairs, parsed)
		tokens.bytes += size(parsed.service)
	}
	return tokens, nil
}

func parsePair(text string) (pair, error) {
	name, value, found := strings.Cut(text, "=")
	if !found || name == "" {
		return pair{}, fmt.Errorf("session token %q: want service=term/index", text)
	}
	point, err := model.ParsePoint(value)
	if err != nil {
		return pair{}, fmt.Errorf("session token of service %q: %w", name, err)
	}
	service := model.ServiceID(name)
	if service == anyService && !point.IsZero() {
		return pair{}, fmt.Errorf("session token %q: only 0/0 can stand for every service", text)
	}
	return pair{service, point}, nil
}
