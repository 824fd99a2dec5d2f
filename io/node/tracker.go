package node

import (
	"sync"

	"pomelofork/core/assert"
	"pomelofork/core/conf"
)

// configTracker is a conf.Tracker, which keeps the newest configuration, that is safe for
// concurrent use.
type configTracker struct {
	mu      sync.Mutex
	tracker *conf.Tracker
}

func newConfigTracker(check *assert.Checker) *configTracker {
	return &configTracker{tracker: conf.NewTracker(conf.TrackerConfig{Check: check})}
}

// current returns the configuration in force, or nil if none is known.
func (t *configTracker) current() *conf.Config {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Current()
}

// version returns the version in force, or zero if none is known.
func (t *configTracker) version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Version()
}

// text returns the document of the given version, and false if another version is in force.
func (t *configTracker) text(version uint64) ([]byte, bool) {
	config := t.current()
	if config == nil || config.Version() != version {
		return nil, false
	}
	return config.Text(), true
}

// offer puts a configuration in force if it is newer than the current one.
func (t *configTracker) offer(config *conf.Config) conf.OfferResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Offer(config)
}

// decodeConfig returns the version and the document of a configuration from the store.
func decodeConfig(text string) (uint64, []byte, error) {
	config, err := conf.Parse([]byte(text))
	if err != nil {
		return 0, nil, err
	}
	return config.Version(), []byte(text), nil
}
