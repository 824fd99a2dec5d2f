// Package reach decides when an instance is isolated, so that its callers are told to
// reconnect elsewhere. An instance is isolated if its configuration is stale while a peer's
// is more recent, or if neither the store nor most of its peers answer.
//
// Load pattern: a network partition. Callers on the side without the store keep their
// connections and have their operations rejected, while the other side could serve all of
// them.
package reach

import (
	"slices"
	"time"
)

// StaleAfter is the configuration age above which a configuration is stale. It is longer than
// a watch of the store and a request to the watching instance take together.
const StaleAfter = 2300 * time.Millisecond

// minAgeDifference is by how much a peer's configuration age must be lower for the peer to
// count as better informed. While the store is down for all instances, their configuration
// ages differ by at most a watch of the store and a request to the watching instance.
const minAgeDifference = 1800 * time.Millisecond

// Survey is what an instance learned by asking some peers and, if needed, the store.
type Survey struct {
	// Asked is the number of peers asked, and Unresponsive the number of those that did
	// not answer.
	Asked, Unresponsive int
	// ConfigAges are the configuration ages of the peers that answered and have a
	// configuration.
	ConfigAges []time.Duration
	// StoreAnswers is true if the store answered, or was not asked because at least half of
	// the peers answered.
	StoreAnswers bool
}

// Partitioned reports whether more than half of the asked peers did not answer.
func (s Survey) Partitioned() bool { return 2*s.Unresponsive > s.Asked }

// Detector tracks whether one instance is isolated. The zero value is not isolated. It isn't
// safe for concurrent use.
type Detector struct {
	isolated bool
	// confirmed is when the configuration was last confirmed, as of the last survey.
	confirmed time.Time
}

// Isolated reports whether callers are better served by other instances.
func (d *Detector) Isolated() bool { return d.isolated }

// NeedsSurvey reports whether peers should be asked now: the configuration, last confirmed
// at the given time, is stale, or a peer was unresponsive recently. An isolated instance
// needs none; UpdateFreshness ends that state.
func (d *Detector) NeedsSurvey(now, confirmed time.Time, unresponsive bool) bool {
	return !d.isolated && (unresponsive || now.Sub(confirmed) > StaleAfter)
}

// ApplySurvey decides from a survey whether the instance is isolated. The configuration was
// last confirmed at the given time.
func (d *Detector) ApplySurvey(now, confirmed time.Time, survey Survey) {
	age := now.Sub(confirmed)
	newer := slices.ContainsFunc(survey.ConfigAges, func(other time.Duration) bool { return other < age-minAgeDifference })
	// When the store is down for all instances, peers answer but have no more recent
	// confirmation. While the store answers this instance, unresponsive peers are the
	// isolated ones.
	d.isolated = age > StaleAfter && newer || !survey.StoreAnswers && survey.Partitioned()
	d.confirmed = confirmed
}

// UpdateFreshness ends the isolation if the configuration, last confirmed at the given time,
// is no longer stale and that confirmation is later than the one at the last survey. Surveys
// don't end it, because each asks other peers and their results would alternate.
func (d *Detector) UpdateFreshness(now, confirmed time.Time) {
	if d.isolated && confirmed.After(d.confirmed) && now.Sub(confirmed) <= StaleAfter {
		d.isolated = false
	}
}
