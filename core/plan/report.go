package plan

import "time"

// Report orders the registrations that a backend server writes of itself.
type Report struct {
	// StartedAt is when the server's process started, by its own clock.
	StartedAt time.Time
	// Number counts the reports of the process.
	Number uint64
}

// OlderThan reports whether the server wrote the other report later.
func (r Report) OlderThan(other Report) bool {
	if !r.StartedAt.Equal(other.StartedAt) {
		return r.StartedAt.Before(other.StartedAt)
	}
	return r.Number < other.Number
}
