package peer

import (
	"errors"
	"fmt"
	"log/slog"
	"time"
	"unicode/utf8"

	"pomelofork/core/lease"
)

// The default durations of a fleet.
const (
	defaultHeartbeatInterval = 250 * time.Millisecond
	defaultStorePollInterval = time.Second
	defaultCallTimeout       = 400 * time.Millisecond
	defaultStoreCallTimeout  = 1500 * time.Millisecond
	defaultSuspectAfter      = 2500 * time.Millisecond
	defaultEndedAfter        = 30 * time.Second
)

// withDefaults returns the settings with defaults for what is not set. It returns an error
// if a required setting is missing or the durations of rights are invalid.
func (c Config) withDefaults() (Config, error) {
	switch {
	case c.Self.Instance == "" || c.Self.FailureDomain == "":
		return c, errors.New("fleet configuration: Self needs an instance name and a failure domain")
	case !utf8.ValidString(string(c.Self.Instance)) || !utf8.ValidString(string(c.Self.FailureDomain)):
		return c, fmt.Errorf("fleet configuration: instance name %q and failure domain %q must be UTF-8", c.Self.Instance, c.Self.FailureDomain)
	case c.Store == nil || c.Limits == nil || c.Services == nil || c.ConfigVersion == nil:
		return c, errors.New("fleet configuration: Store, Limits, Services and ConfigVersion must be set")
	}
	if c.ConfigDocument == nil {
		c.ConfigDocument = func(uint64) ([]byte, bool) { return nil, false }
	}
	if c.OnConfig == nil {
		c.OnConfig = func(uint64, []byte) {}
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Self.Incarnation == 0 {
		c.Self.Incarnation = uint64(c.Now().UnixNano())
	}
	c.Timing = c.Timing.withDefaults()
	return c, c.Timing.Lease.Validate()
}

// withDefaults returns the durations with defaults in the zero fields.
func (t Timing) withDefaults() Timing {
	setDefault(&t.HeartbeatInterval, defaultHeartbeatInterval)
	setDefault(&t.StorePollInterval, defaultStorePollInterval)
	setDefault(&t.CallTimeout, defaultCallTimeout)
	setDefault(&t.StoreCallTimeout, defaultStoreCallTimeout)
	setDefault(&t.SuspectAfter, defaultSuspectAfter)
	setDefault(&t.EndedAfter, defaultEndedAfter)
	if t.Lease == (lease.Timing{}) {
		t.Lease = lease.DefaultTiming()
	}
	return t
}

// setDefault sets a duration that is zero.
func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
