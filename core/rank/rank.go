// Package rank orders the instances for a task by weighted rendezvous hashing. Instances
// that know the same members compute the same order. When a member is removed, only the
// tasks that it ranked first for move to other members.
package rank

import (
	"cmp"
	"math"

	"github.com/cespare/xxhash/v2"

	"pomelofork/core/model"
	"pomelofork/core/plan"
)

// tier orders candidates before their scores do.
type tier uint8

// The tiers, best first.
const (
	tierPreferred tier = iota
	tierOther
	tierAvoided
)

// candidate is an instance with the values by which it is ranked for a task.
type candidate struct {
	member plan.Instance
	tier   tier
	score  float64
}

// compare is negative if a ranks before b. Members of the better tier rank first, then those
// with the higher score, then those with the lower ID.
func (a candidate) compare(b candidate) int {
	if order := cmp.Compare(a.tier, b.tier); order != 0 {
		return order
	}
	if order := cmp.Compare(b.score, a.score); order != 0 {
		return order
	}
	return cmp.Compare(a.member.ID, b.member.ID)
}

// Position returns how many of the members rank before self for the task, as
// Preference.Position does with a preferred failure domain only.
func Position(task string, domain model.Domain, self plan.Instance, members []plan.Instance, limit int) (int, bool) {
	return Preference{Domain: domain}.Position(task, self, members, limit)
}

// Order returns the members by weighted rendezvous hashing of the task, those in the
// preferred failure domain first. An empty domain prefers none.
func Order(task string, domain model.Domain, members []plan.Instance) []plan.Instance {
	return Preference{Domain: domain}.Order(task, members)
}

// score returns the weighted rendezvous score: -weight/ln(hash), with the hash scaled to
// (0,1). A weight of zero or less counts as 1.
func score(task string, m plan.Instance) float64 {
	const mantissa = 1 << 53
	hash := xxhash.Sum64String(task + "\x00" + string(m.ID))
	unit := (float64(hash>>11) + 0.5) / mantissa
	weight := m.Weight
	if weight <= 0 {
		weight = 1
	}
	return -weight / math.Log(unit)
}
