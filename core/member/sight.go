package member

import "time"

// sight is what was last heard of one instance.
type sight struct {
	incarnation uint64
	heard       time.Time
	// version is the configuration in force there, when it was asked.
	version uint64
	asked   time.Time
}
