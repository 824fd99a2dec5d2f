package ramp

import "time"

// View is what an instance's view says of its place among the holders of a server.
type View struct {
	// First says that this instance is the first holder.
	First bool
	// Registration identifies this instance's registration. An instance that has registered anew may
	// not have seen that others were first in between.
	Registration uint64
	// Confirmed is the time as of which the view was last confirmed to be complete, or zero.
	Confirmed time.Time
}

// Tenure records since when this instance has been the first holder of a server in its own view. It
// begins anew after each time for which the view was too old, since another instance may have been
// first then. The zero value is not first.
type Tenure struct {
	view  View
	since time.Time
}

// NewTenure returns the tenure of a server that this instance hasn't observed so far. The order of its
// holders has been the same for as long as the stable tenure has lasted.
func NewTenure(stable Tenure, v View) *Tenure { return &Tenure{view: v, since: stable.since} }

// Observe records the view. It is to be called after each change, and a few times in maxViewAge.
func (t *Tenure) Observe(now time.Time, v View) {
	former := t.view
	t.view = v
	if former.First && v.First && former.Registration == v.Registration && now.Sub(former.Confirmed) <= maxViewAge {
		return
	}
	t.since = now
}

// Claim returns the claim of this instance to the gateway's part of a limit.
func (t *Tenure) Claim(limit int) Claim {
	return Claim{Limited: true, Max: limit, First: t.view.First, Since: t.since, Confirmed: t.view.Confirmed}
}
