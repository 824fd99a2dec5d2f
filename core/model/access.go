package model

// Access says whether a route is for reads or for writes.
type Access uint8

// The kinds of access. The zero value is AccessRead.
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
