package spare

import (
	"maps"

	"pomelofork/core/model"
)

// maxTags is the number of tags from which those are dropped that no longer count.
const maxTags = 512

// shareKey names the share of an account in what a primary leaves for reads of a priority.
type shareKey struct {
	priority int
	account  model.AccountID
}

// shares orders the reads of a priority by start-time fair queueing, as core/wait does for its queue: one
// account with many reads doesn't keep out the others.
type shares struct {
	tags map[shareKey]float64
	// virtual is, by priority, the tag of the read that was taken last.
	virtual map[int]float64
}

// tag returns the tag of the next read of a share. The lowest one is next.
func (s *shares) tag(key shareKey) float64 { return max(s.tags[key], s.virtual[key.priority]) }

// take charges a share for a read.
func (s *shares) take(key shareKey, work, weight float64) {
	if !(weight > 0) {
		weight = 1
	}
	start := s.tag(key)
	if len(s.tags) >= maxTags {
		maps.DeleteFunc(s.tags, func(k shareKey, tag float64) bool { return tag <= s.virtual[k.priority] })
	}
	s.tags[key] = start + work/weight
	s.virtual[key.priority] = start
}
