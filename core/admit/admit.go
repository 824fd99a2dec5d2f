// Package admit decides how many sessions of callers an instance serves, by the descriptors that its process may
// have. The connections that the instance opens itself, those of other instances and of readiness checks need
// some as well: without these it serves nobody.
//
// Load pattern: most instances are lost at once, and the callers of all of them come to the few that are left.
package admit

// Verdict is what to do with a new session.
type Verdict uint8

// The verdicts.
const (
	// Serve means that the session is served.
	Serve Verdict = iota
	// Refuse means that the caller is told that there are too many sessions.
	Refuse
	// Close means that the connection is closed at once.
	Close
)

const (
	// fileDescriptors is the number of descriptors that are left for files, unless that is over half of all.
	fileDescriptors = 200
	// callersNumerator and callersDenominator are the part of the other descriptors that callers may use.
	callersNumerator, callersDenominator = 3, 4
	// refusedPart is the inverse of the part of the sessions by which those that are being refused may
	// exceed the limit.
	refusedPart = 16
)

// Limit is a limit on the sessions of callers. The zero value is none.
type Limit struct{ sessions int }

// NewLimit returns the limit for a process that may have the given number of descriptors. Zero or less stands
// for no limit.
func NewLimit(descriptors int) Limit {
	if descriptors <= 0 {
		return Limit{}
	}
	sockets := max(descriptors-fileDescriptors, descriptors/2)
	return Limit{sessions: max(1, sockets*callersNumerator/callersDenominator)}
}

// Sessions returns the largest number of sessions that are served, or zero for no limit.
func (l Limit) Sessions() int { return l.sessions }

// Full reports whether no more sessions are served, given the number of open ones.
func (l Limit) Full(open int) bool { return l.sessions > 0 && open >= l.sessions }

// Admit returns what to do with a session, given the number of those that are open.
func (l Limit) Admit(open int) Verdict {
	switch {
	case !l.Full(open):
		return Serve
	case open < l.sessions+max(1, l.sessions/refusedPart):
		return Refuse
	default:
		return Close
	}
}
