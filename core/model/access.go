package model

// Access says what a route may do to its service.
type Access uint8

// The kinds of access. A route that declares nothing reads.
const (
	AccessRead Access = iota
	AccessWrite
)

// String returns "read" or "write".
func (a Access) String() string {
	if a == AccessWrite {
		return "write"
	}
	return "read"
}
