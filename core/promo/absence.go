package promo

import (
	"time"

	"pomelofork/core/model"
)

const (
	// drainedAfter is the time after which a draining server that has no entry and doesn't answer counts
	// as ended, and goneAfter that for any other server. An entry is missing only after seconds of
	// silence, and a server that is cut off from the store answers the instances meanwhile.
	drainedAfter = 2 * time.Second
	goneAfter    = 30 * time.Second
	// absenceInterval is the time between two attempts to reach a server without an entry.
	absenceInterval = time.Second
)

// Absences tracks since when servers have neither an entry nor answered at their address. It is not
// safe for concurrent use. The zero value is ready for use.
//
// Load pattern: servers are replaced one after the other, or lost for good, and the primary fails
// later. A promotion would otherwise wait for ever for a server that nobody starts again.
type Absences struct {
	servers map[model.ServerID]*absence
}

// absence is the state of a server without an entry.
type absence struct {
	// since is when it was first found not to answer, and triedAt when it was last tried.
	since, triedAt time.Time
	// replaced says that another process answered at the address.
	replaced bool
}

// Due returns those of the copies without an entry that are to be tried now, and forgets the servers
// that have an entry again.
func (a *Absences) Due(now time.Time, absent []Copy) []Copy {
	servers := map[model.ServerID]*absence{}
	var due []Copy
	for _, c := range absent {
		known, ok := a.servers[c.Server]
		if !ok {
			known = &absence{}
		}
		if servers[c.Server] = known; known.triedAt.IsZero() || now.Sub(known.triedAt) >= absenceInterval {
			known.triedAt = now
			due = append(due, c)
		}
	}
	a.servers = servers
	return due
}

// Tried records whether a server answered an attempt that began at a time, or another process did at
// its address.
func (a *Absences) Tried(at time.Time, id model.ServerID, answered, replaced bool) {
	known, ok := a.servers[id]
	switch {
	case !ok:
	case answered:
		known.since, known.replaced = time.Time{}, false
	case known.since.IsZero():
		known.since, known.replaced = at, replaced
	default:
		known.replaced = known.replaced || replaced
	}
}

// Ended returns those of the copies without an entry that count as ended.
func (a *Absences) Ended(now time.Time, absent []Copy) []Copy {
	var ended []Copy
	for _, c := range absent {
		known, ok := a.servers[c.Server]
		if !ok || known.since.IsZero() {
			continue
		}
		life := goneAfter
		if c.Draining {
			life = drainedAfter
		}
		if known.replaced || now.Sub(known.since) >= life {
			ended = append(ended, c)
		}
	}
	return ended
}
