package conf

import "pomelofork/core/assert"

// OfferResult is the result of Tracker.Offer.
type OfferResult uint8

// The possible results of an offer.
const (
	// OfferAccepted means that the offered configuration is now the current one.
	OfferAccepted OfferResult = iota
	// OfferSame means that the offered configuration was already the current one.
	OfferSame
	// OfferOlder means that the current configuration is newer and stays.
	OfferOlder
	// OfferForked means that the current configuration has the same version but another
	// document, and stays. It happens when somebody edits the store by hand.
	OfferForked
)

// String returns the name of the result, for example "accepted".
func (o OfferResult) String() string {
	return [...]string{"accepted", "same", "older", "forked"}[o]
}

// Tracker holds the newest configuration that an instance has received. Configurations
// may be offered by the store and by peers in any order; the version of the current one
// never decreases.
type Tracker struct {
	current *Config
	check   *assert.Checker
}

// TrackerConfig holds the settings of a Tracker.
type TrackerConfig struct {
	// Check records a violation if the version decreases. It may be nil.
	Check *assert.Checker
}

// NewTracker returns a Tracker without a current configuration.
func NewTracker(c TrackerConfig) *Tracker { return &Tracker{check: c.Check} }

// Current returns the newest configuration offered so far, or nil if there was none.
func (t *Tracker) Current() *Config { return t.current }

// Version returns the version of the current configuration, or zero if there is none.
func (t *Tracker) Version() uint64 {
	if t.current == nil {
		return 0
	}
	return t.current.Version()
}

// Offer makes a configuration the current one if its version is higher.
func (t *Tracker) Offer(offered *Config) OfferResult {
	result := t.compare(offered)
	if result == OfferAccepted {
		t.accept(offered)
	}
	return result
}

// compare returns the result of offering a configuration, without accepting it.
func (t *Tracker) compare(offered *Config) OfferResult {
	switch {
	case t.current == nil || offered.Version() > t.current.Version():
		return OfferAccepted
	case offered.Version() < t.current.Version():
		return OfferOlder
	case string(offered.text) != string(t.current.text):
		return OfferForked
	}
	return OfferSame
}

// accept makes an offered configuration the current one.
func (t *Tracker) accept(offered *Config) {
	before := t.Version()
	t.current = offered
	t.check.Hold(t.Version() > before, assert.InvariantConfigNeverReverts,
		"configuration version went from %d to %d", before, t.Version())
}
