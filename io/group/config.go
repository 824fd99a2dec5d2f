package group

import (
	"context"
	"crypto/tls"
	"log/slog"
	"time"

	"pomelofork/core/assert"
	"pomelofork/core/model"
	"pomelofork/core/term"
	"pomelofork/io/store"
)

// Server is one backend server of the group.
type Server struct {
	ID model.ServerID
	// Address is the server's address, as host:port.
	Address string
	Domain  model.Domain
}

// Store is the part of the platform's store in which terms are reserved.
type Store interface {
	Get(ctx context.Context, key string) (store.Item, error)
	Swap(ctx context.Context, swap store.Swap) (store.Item, error)
}

// Config holds the settings of a watcher.
type Config struct {
	Service  model.ServiceID
	Servers  []Server
	User     string
	Password string
	Database string
	// TLS is used for the connections to the servers. They are not encrypted if it is
	// nil.
	TLS *tls.Config
	// Store holds the first series of terms that is not reserved. If it is nil, this
	// instance begins no terms.
	Store Store
	// IsGateway reports whether this instance is a gateway of the service at present.
	// Only a gateway begins terms. If the function is nil, the instance never is one.
	IsGateway func() bool
	// Rank returns the position of this instance among the gateways of the service, from
	// 0. If the function is nil, the position is 0.
	Rank func() int
	// ActiveWrites returns the number of units of work with writes that run at this
	// instance. A planned change of primary waits for them for a short time. If the
	// function is nil, the number is 0.
	ActiveWrites func() int
	// Detector decides when a primary has failed. The default is
	// term.DefaultReplicaDetector.
	Detector term.Detector
	// Timing holds the durations of decisions. The default is term.DefaultTiming.
	Timing *term.Timing
	// PollTiming holds the durations of status requests. The default is
	// DefaultPollTiming.
	PollTiming *PollTiming
	// Report receives every report of the machine, which is logged as well. It may be
	// nil. It must not block.
	Report func(term.Report)
	Logger *slog.Logger
	Check  *assert.Checker
	// Now returns the present time. The default is time.Now.
	Now func() time.Time
}

// PollTiming holds the durations by which servers are asked for their statuses.
type PollTiming struct {
	// MaxHold is how long a server may delay the answer to a status request while its
	// status does not change. A status counts from when it was requested, so MaxHold also
	// bounds the age of what is known.
	MaxHold time.Duration
	// Interval is the least time between two status requests to one server.
	// FastInterval applies instead while a caller waits for a commit or a confirmation,
	// or the machine needs fast polling, for example because the primary is suspected.
	Interval, FastInterval time.Duration
	// FastLinger is how long fast polling continues after the last caller has waited, or
	// after a change in which servers can be selected.
	FastLinger time.Duration
	// AnswerTimeout bounds the time for a command, and the time for a status request in
	// addition to the time for which the server may delay its answer.
	AnswerTimeout time.Duration
	// ConnectTimeout bounds the time for connecting and logging in.
	ConnectTimeout time.Duration
	// The delay before the next attempt to connect is twice ReconnectDelay after the
	// first failure and doubles after each further one, up to MaxReconnectDelay.
	ReconnectDelay, MaxReconnectDelay time.Duration
	// TickInterval is the time between two ticks of the machine.
	TickInterval time.Duration
}

// DefaultPollTiming suits a network with a one-way latency of about 1 ms.
var DefaultPollTiming = PollTiming{
	MaxHold:           100 * time.Millisecond,
	Interval:          20 * time.Millisecond,
	FastInterval:      time.Millisecond,
	FastLinger:        50 * time.Millisecond,
	AnswerTimeout:     time.Second,
	ConnectTimeout:    time.Second,
	ReconnectDelay:    10 * time.Millisecond,
	MaxReconnectDelay: 200 * time.Millisecond,
	TickInterval:      20 * time.Millisecond,
}

// withDefaults sets the fields that are nil to their defaults.
func (c Config) withDefaults() Config {
	if c.IsGateway == nil {
		c.IsGateway = func() bool { return false }
	}
	if c.Rank == nil {
		c.Rank = func() int { return 0 }
	}
	if c.ActiveWrites == nil {
		c.ActiveWrites = func() int { return 0 }
	}
	if c.Detector == nil {
		c.Detector = term.DefaultReplicaDetector
	}
	if c.Timing == nil {
		c.Timing = &term.DefaultTiming
	}
	if c.PollTiming == nil {
		c.PollTiming = &DefaultPollTiming
	}
	if c.Report == nil {
		c.Report = func(term.Report) {}
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}
