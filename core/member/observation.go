package member

import "time"

// observation is the last known state of one instance.
type observation struct {
	incarnation uint64
	// receivedAt is when the last message of the instance arrived.
	receivedAt time.Time
	// version is the configuration version that was in force there when it was asked at
	// askedAt.
	version uint64
	askedAt time.Time
}
