// Package pace keeps the request rate of a whole fleet below what the store accepts,
// whatever the number of instances. It sets the lifetimes of leases, which determine the
// rate of renewals, and the time over which the instances of a fleet that starts at once
// register. It also limits how many rights one instance keeps. A right is a named exclusive
// role that one instance holds by lease.
//
// Load pattern: hundreds of instances each renew a lease of a few seconds, and all of them
// start in the same second after a loss of power. The store rejects requests above its
// rates, whichever instance they come from, and rejected requests are repeated.
package pace

import "time"

const (
	// shortLeaseTTL is the lifetime of the lease of an instance that holds urgent rights:
	// those without which callers' operations soon fail, such as issuing an account's
	// tokens. A shorter lifetime would let an outage of the store that callers hardly
	// notice stop every account. With a longer one, the accounts of an unresponsive holder
	// would wait longer for the next holder.
	shortLeaseTTL = 3500 * time.Millisecond
	// shortLeaseRenewInterval is the interval between its renewals. Four in a row may fail
	// before the lease expires.
	shortLeaseRenewInterval = 600 * time.Millisecond
	// minMemberTTL and minMemberRenewInterval are the lifetime and the renewal interval of
	// any other instance's lease. Above 1,000 instances both grow with the fleet.
	minMemberTTL           = 9 * time.Second
	minMemberRenewInterval = 2500 * time.Millisecond
	// MaxShortLeaseFleet is the number of instances up to which every right counts as
	// urgent, so that all holders have short leases. Together they then renew at most 333
	// leases a second.
	MaxShortLeaseFleet = 200
	// maxRenewalsPerSecond is the number of renewals a second for a whole fleet: a fifth of
	// the 2,000 reads a second of the smallest known store, which counts renewals as reads.
	maxRenewalsPerSecond = 400
	// minStoreWrites is the number of writes a second that the smallest known store accepts.
	minStoreWrites = 400
	// registerShare is the part of the store's writes that a fleet may use to register.
	registerShare = 0.5
	// RegisterWrites is the number of writes with which one instance registers: it obtains a
	// lease and writes its entry. The third is for one that ends its former lease.
	RegisterWrites = 3
)

// LeaseSlack is the time beyond the lifetime of a lease after which it has certainly ended by the
// clocks of all instances.
const LeaseSlack = 300 * time.Millisecond

// Lease is the lifetime of a lease and the interval between its renewals.
type Lease struct {
	// TTL is the time after its last renewal at which the lease expires.
	TTL time.Duration
	// RenewInterval is the time from one renewal to the next.
	RenewInterval time.Duration
}

// MemberLease returns the lease of an instance without urgent rights in a fleet of this size.
func MemberLease(instances int) Lease {
	interval := time.Duration(instances) * time.Second / maxRenewalsPerSecond
	if interval <= minMemberRenewInterval {
		return Lease{minMemberTTL, minMemberRenewInterval}
	}
	return Lease{interval * (minMemberTTL / time.Millisecond) / (minMemberRenewInterval / time.Millisecond), interval}
}

// RenewsTooOften reports whether a fleet of this size needs a longer renewal interval than
// this lease has. A need of up to half as much again is tolerated, because replacing a lease
// costs two writes.
func (l Lease) RenewsTooOften(instances int) bool {
	return MemberLease(instances).RenewInterval > l.RenewInterval+l.RenewInterval/2
}

// HolderLease returns the short lease of an instance that holds urgent rights.
func HolderLease() Lease { return Lease{shortLeaseTTL, shortLeaseRenewInterval} }

// StartupSpread returns the time over which the instances of a fleet of this size register
// when all of them start at once, at a store that accepts the given number of writes a second.
// It is zero for a fleet that needs no more than one second's writes.
func StartupSpread(instances int, storeWrites float64) time.Duration {
	perSecond := registerShare * max(storeWrites, minStoreWrites)
	writes := float64(instances * RegisterWrites)
	if writes <= registerShare*minStoreWrites {
		return 0
	}
	return time.Duration(writes / perSecond * float64(time.Second))
}

// RetryInterval returns the mean time after which an instance repeats a call that the store
// did not answer. It is long enough for all instances of a fleet of this size to repeat
// theirs at the same time.
func RetryInterval(instances int) time.Duration {
	return time.Duration(float64(instances) / (registerShare * minStoreWrites) * float64(time.Second))
}

const (
	// minWatchPause is the least pause of a watch after changes, and watchPausePerInstance
	// what each instance adds: in a large fleet that starts, changes come all the time, and
	// each watch that returns with one is a call.
	minWatchPause         = 60 * time.Millisecond
	watchPausePerInstance = 800 * time.Microsecond
	// maxWatchPause keeps a change that matters, such as that of a primary, from waiting long.
	maxWatchPause = 250 * time.Millisecond
)

// WatchPause returns the pause of a watch after changes, so that its next call returns those that
// follow shortly after.
func WatchPause(instances int) time.Duration {
	return min(max(minWatchPause, time.Duration(instances)*watchPausePerInstance), maxWatchPause)
}

const (
	// minDirectInterval is the least time between two queries to the store by an instance that
	// should follow a watcher, and directPerSecond the number of such queries a second for a
	// whole fleet whose watchers don't answer or have no recent content.
	minDirectInterval = time.Second
	directPerSecond   = 40
)

// DirectInterval returns the time between two queries to the store by an instance of a fleet of
// this size that should follow a watcher.
func DirectInterval(instances int) time.Duration {
	return max(minDirectInterval, time.Duration(instances)*time.Second/directPerSecond)
}

const (
	// excessFactor is the multiple of a fair share of the rights above which a holder
	// transfers some, and excessSlack the number tolerated on top. Moving rights costs more
	// than holding a few too many.
	excessFactor = 2
	excessSlack  = 8
)

// ExcessRights returns how many of its held rights an instance should transfer to others, so
// that the first one to start doesn't keep the work of the whole fleet. Zero instances mean
// that no fleet is known, and nothing is transferred.
func ExcessRights(held, rights, instances int) int {
	if instances < 1 {
		return 0
	}
	fair := (rights + instances - 1) / instances
	if held <= excessFactor*fair+excessSlack {
		return 0
	}
	return held - fair
}
