package route

import "time"

// Load is how busy a backend server is, as far as one gateway can tell.
type Load struct {
	// Free is the number of slots that could take a statement now.
	Free int
	// Last is when the server was last sent a statement.
	Last time.Time
}

// lessLoaded reports whether a server with load l is preferred to one with other:
// more free slots first, then the longer time since the last statement.
func (l Load) lessLoaded(other Load) bool {
	if l.Free != other.Free {
		return l.Free > other.Free
	}
	return l.Last.Before(other.Last)
}
