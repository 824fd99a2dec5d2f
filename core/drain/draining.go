package drain

import (
	"time"

	"pomelofork/core/model"
)

// DrainingServers records since when backend servers have been draining. A draining server
// gets no new unit of work, but transactions that are open there may go on for a limited
// time. It is not safe for concurrent use.
type DrainingServers struct {
	transactionTimeout time.Duration
	since              map[model.ServerID]time.Time
}

// DrainingServersConfig holds the settings of DrainingServers.
type DrainingServersConfig struct {
	// TransactionTimeout is the time, from when a server began to drain, during which its
	// open transactions get new statements.
	TransactionTimeout time.Duration
}

// NewDrainingServers returns a record without any draining server.
func NewDrainingServers(c DrainingServersConfig) *DrainingServers {
	return &DrainingServers{transactionTimeout: c.TransactionTimeout, since: map[model.ServerID]time.Time{}}
}

// Observe records whether a server is draining. The time counts from the first call that
// says so.
func (d *DrainingServers) Observe(now time.Time, id model.ServerID, draining bool) {
	if !draining {
		delete(d.since, id)
		return
	}
	if _, known := d.since[id]; !known {
		d.since[id] = now
	}
}

// IsDraining reports whether a server gets no new units of work.
func (d *DrainingServers) IsDraining(id model.ServerID) bool {
	_, draining := d.since[id]
	return draining
}

// Expired reports whether open transactions at a draining server get no more statements.
func (d *DrainingServers) Expired(now time.Time, id model.ServerID) bool {
	since, draining := d.since[id]
	return draining && now.Sub(since) >= d.transactionTimeout
}
