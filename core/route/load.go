package route

import "time"

// Load is how busy a backend server is, as far as one gateway can see.
type Load struct {
	// Free is the number of slots that could take a statement now.
	Free int
	// Last is when the server last got a statement.
	Last time.Time
}

// lighter reports whether a server with load l is to be taken before one with
// other: more free slots first, then the one that has waited longest.
func (l Load) lighter(other Load) bool {
	if l.Free != other.Free {
		return l.Free > other.Free
	}
	return l.Last.Before(other.Last)
}
