package model

// Outcome says what is known of a request that got no complete answer.
type Outcome uint8

// The outcomes a refusal can state. OutcomeNotRun is a promise: no statement of
// the request reached a backend server in a way that could still take effect.
const (
	OutcomeNotRun Outcome = iota
	OutcomeUnknown
)

// String returns the words that callers see in the detail of an error.
func (o Outcome) String() string {
	if o == OutcomeUnknown {
		return "outcome unknown"
	}
	return "not run"
}
