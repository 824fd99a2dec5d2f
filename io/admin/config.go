package admin

import (
	"log/slog"
	"time"

	"pomelofork/core/conf"
	"pomelofork/core/model"
	"pomelofork/io/store"
)

// defaultTimeout bounds how long a change is tried.
const defaultTimeout = 5 * time.Second

// Config holds what the administration API needs of its instance.
type Config struct {
	// Store holds the configuration under ConfigKey.
	Store store.Store
	// Current returns the configuration in force here, or nil.
	Current func() *conf.Config
	// Versions returns the version in force at each instance, as far as known.
	Versions func() map[model.InstanceID]uint64
	// OnConfig takes a configuration that was just accepted or read, so that this
	// instance puts it in force without waiting. It may be nil.
	OnConfig func(*conf.Config)
	// Operators are those who may call. None refuses every call.
	Operators []Operator
	// Timeout bounds how long a change is tried. Zero means five seconds.
	Timeout time.Duration
	// Now returns the present time.
	Now func() time.Time
	// Logger takes the events.
	Logger *slog.Logger
}

// ConfigKey is the key of the configuration in the store.
const ConfigKey = "config"
