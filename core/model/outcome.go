package model

// Outcome says whether a request that got no complete answer may have taken effect.
type Outcome uint8

// The outcomes that a refusal can state.
const (
	// OutcomeNotRun guarantees that no statement of the request has taken effect or can
	// still take effect at a backend server.
	OutcomeNotRun Outcome = iota
	// OutcomeUnknown means that the request may have taken effect or may still do so.
	OutcomeUnknown
)

// String returns "not run" or "outcome unknown", which callers see in the detail of an
// error.
func (o Outcome) String() string {
	if o == OutcomeUnknown {
		return "outcome unknown"
	}
	return "not run"
}
