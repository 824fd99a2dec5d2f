package admin

import (
	"log/slog"
	"time"

	"pomelofork/core/conf"
	"pomelofork/core/model"
	"pomelofork/io/store"
)

// defaultTimeout limits the time that an instance spends on one change, retries included.
const defaultTimeout = 5 * time.Second

// Config holds the settings of a Server and the functions of the instance that it uses.
type Config struct {
	// Store is the key-value store that holds the configuration under ConfigKey.
	Store store.Store
	// Current returns the configuration in force at this instance, or nil if none is known.
	Current func() *conf.Config
	// Versions returns the version in force at each known instance, or zero where it isn't
	// known.
	Versions func() map[model.InstanceID]uint64
	// OnConfig is called with each configuration that was written to or read from the
	// store, so that this instance puts it in force at once. It may be nil.
	OnConfig func(*conf.Config)
	// Operators are the operators who may use the API. If there are none, every request is
	// rejected.
	Operators []Operator
	// Timeout limits the time that the instance spends on one change, retries included.
	// Zero means five seconds.
	Timeout time.Duration
	// Now returns the current time.
	Now func() time.Time
	// Logger receives the events of package event.
	Logger *slog.Logger
}

// ConfigKey is the key under which the store holds the configuration document.
const ConfigKey = "config"
