package member

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pomelofork/core/lease"
	"pomelofork/core/model"
)

// readersPerDomain is the number of instances of each failure domain that read the store
// regularly.
const readersPerDomain = 2

// ReadsStore reports whether this instance is one of those that read the store for its
// failure domain. They are chosen by rendezvous hashing among the members that are not
// suspected.
func (t *Tracker) ReadsStore(now time.Time, members []lease.Member) bool {
	ownHash := readerHash(t.self.Instance)
	before := 0
	for _, m := range members {
		if m.FailureDomain != t.self.FailureDomain || m.Is(t.self) || t.IsSuspected(now, m) {
			continue
		}
		if readerHash(m.Instance) < ownHash {
			before++
		}
	}
	return before < readersPerDomain
}

// readerHash returns the value by which the instances of a failure domain are ordered.
func readerHash(id model.InstanceID) uint64 { return xxhash.Sum64String("watch\x00" + string(id)) }
