package conf

// Answer classifies the result of a change for the operator.
type Answer uint8

// The possible answers to a change.
const (
	// AnswerAccepted means that the change took effect and made a new version.
	AnswerAccepted Answer = iota
	// AnswerConflicting means that the stored version is not the expected one, usually
	// because another change came first. This change did not and will not take effect.
	AnswerConflicting
	// AnswerRefused means that the change is invalid and did not take effect.
	AnswerRefused
	// AnswerUnavailable means that the store could not be reached. The change did
	// not and will not take effect.
	AnswerUnavailable
	// AnswerNotKnown means that the change may have taken effect or may still do
	// so. The operator finds out by sending it again with the same identifier.
	AnswerNotKnown
)

// String returns the code of the answer in the administration API.
func (a Answer) String() string {
	return [...]string{"accepted", "conflicting", "refused", "unavailable", "not_known"}[a]
}

// Result is the answer to a change together with its details.
type Result struct {
	answer  Answer
	version uint64
	config  *Config
	fault   error
}

// Answer returns whether the change took effect.
func (r Result) Answer() Answer { return r.answer }

// Version returns the version that an accepted change made. For other answers it
// is the current version, or zero if that is unknown.
func (r Result) Version() uint64 { return r.version }

// Config returns the newest configuration that the attempt read or wrote, or nil
// if there was none.
func (r Result) Config() *Config { return r.config }

// Fault returns why a change was refused. It is nil for every other answer.
func (r Result) Fault() error { return r.fault }
