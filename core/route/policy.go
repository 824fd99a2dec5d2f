package route

import (
	"time"

	"pomelofork/core/model"
	"pomelofork/core/term"
)

// Policy chooses servers. It holds settings only and keeps nothing from one call to the
// next.
type Policy struct {
	replicaWait time.Duration
}

// Config holds the settings of a Policy.
type Config struct {
	// ReplicaWait is how long a read that replicas may serve waits for one of them
	// before it uses a slot of the primary.
	ReplicaWait time.Duration
}

// New returns a policy with the given settings.
func New(c Config) *Policy { return &Policy{replicaWait: c.ReplicaWait} }

// Choose returns the server for a unit of work, and false if the unit has to wait.
// The function load returns how busy a server is.
func (p *Policy) Choose(now time.Time, needs Requirements, snapshot term.Snapshot, load func(model.ServerID) Load) (Pick, bool) {
	if needs.PrimaryOnly() {
		return choosePrimary(snapshot, load)
	}
	best, found, wait := chooseReplica(now, needs, snapshot, load)
	if found {
		return best, true
	}
	if wait && now.Sub(needs.WaitingSince) < p.replicaWait {
		return Pick{}, false
	}
	return choosePrimary(snapshot, load)
}

// RetryAt returns when Choose has to be called again for a waiting unit even if
// nothing else changes: the time when its ReplicaWait ends.
func (p *Policy) RetryAt(needs Requirements) time.Time { return needs.WaitingSince.Add(p.replicaWait) }

// choosePrimary returns the primary if it is known, takes new work and has a free
// slot.
func choosePrimary(snapshot term.Snapshot, load func(model.ServerID) Load) (Pick, bool) {
	id, ok := snapshot.Primary()
	if !ok || load(id).Free <= 0 {
		return Pick{}, false
	}
	if view, ok := snapshot.Server(id); ok && view.Leaving {
		return Pick{}, false
	}
	return Pick{Server: id, Term: snapshot.Term(), Primary: true}, true
}

// chooseReplica returns the least loaded replica that may serve the read. The result
// wait is true if a replica has data that are recent enough: even if none can serve
// the read now, one may do so soon, when it has a free slot or has applied the
// session's writes.
func chooseReplica(now time.Time, needs Requirements, snapshot term.Snapshot, load func(model.ServerID) Load) (best Pick, found, wait bool) {
	leader, _ := snapshot.Primary()
	var lightest Load
	for id, view := range snapshot.Servers() {
		if id == leader || !usable(view) || !freshEnough(now, needs, view) {
			continue
		}
		wait = true
		current := load(id)
		if current.Free <= 0 || !view.Applied.Covers(needs.Token) {
			continue
		}
		if !found || current.lessLoaded(lightest) || (!lightest.lessLoaded(current) && id < best.Server) {
			best, lightest, found = Pick{Server: id, Term: snapshot.Term()}, current, true
		}
	}
	return best, found, wait
}

// usable reports whether the server answers and takes new work.
func usable(view term.ServerView) bool { return view.Reachable && !view.Leaving }

// freshEnough reports whether the server's data are recent enough for the read.
func freshEnough(now time.Time, needs Requirements, view term.ServerView) bool {
	return now.Sub(view.FreshAsOf) <= needs.MaxAge
}
