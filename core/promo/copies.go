package promo

import (
	"cmp"
	"slices"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/plan"
)

// Copy is one run of a server's process that may hold acknowledged commits of its service.
type Copy struct {
	// Server, Address and Domain are the server's, as it registered itself.
	Server  model.ServerID
	Address string
	Domain  model.Domain
	// StartedAt is when the process started, by its own clock. A later run of the server may have
	// started with an empty log.
	StartedAt time.Time
	// Draining says that the process was about to end when its entry was last seen.
	Draining bool
}

// of reports whether the copy is the registered run of a server.
func (c Copy) of(s plan.Server) bool {
	return c.Server == s.ID && c.StartedAt.Equal(s.Report.StartedAt)
}

// compareCopies orders copies by server and start.
func compareCopies(a, b Copy) int {
	if order := cmp.Compare(a.Server, b.Server); order != 0 {
		return order
	}
	return a.StartedAt.Compare(b.StartedAt)
}

// CopySet is the set of the copies of a service's log, the primary's among them. It is kept in the
// store: a server may go on to receive and acknowledge commits although its own entry has expired, and
// the instance that decides on a promotion may not have run when the server was last registered. The
// zero value says that nothing is known. A CopySet is immutable.
type CopySet struct {
	copies       []Copy
	syncReplicas int
	settled      bool
}

// CopySetConfig holds the contents of a CopySet.
type CopySetConfig struct {
	// Copies are the copies in any order.
	Copies []Copy
	// SyncReplicas is the least number of replicas that each acknowledged commit was on.
	SyncReplicas int
	// Settled says that servers whose entries were missing when the set was begun have had the time to
	// register again.
	Settled bool
}

// NewCopySet returns a set with the given contents.
func NewCopySet(c CopySetConfig) CopySet {
	copies := slices.Clone(c.Copies)
	slices.SortFunc(copies, compareCopies)
	return CopySet{copies: slices.CompactFunc(copies, func(a, b Copy) bool { return compareCopies(a, b) == 0 }), syncReplicas: c.SyncReplicas, settled: c.Settled}
}

// All returns the copies in the order of their servers. The caller must not modify them.
func (c CopySet) All() []Copy { return c.copies }

// SyncReplicas returns the least number of replicas that each acknowledged commit was on.
func (c CopySet) SyncReplicas() int { return c.syncReplicas }

// Settled reports whether servers whose entries were missing when the set was begun have had the time
// to register again.
func (c CopySet) Settled() bool { return c.settled }

// Empty reports whether nothing is known.
func (c CopySet) Empty() bool { return len(c.copies) == 0 }

// Equal reports whether two sets are the same.
func (c CopySet) Equal(other CopySet) bool {
	return c.syncReplicas == other.syncReplicas && c.settled == other.settled &&
		slices.EqualFunc(c.copies, other.copies, func(a, b Copy) bool {
			return compareCopies(a, b) == 0 && a.Address == b.Address && a.Domain == b.Domain && a.Draining == b.Draining
		})
}

// With returns the set with the registered runs of the service's servers, of which the primary
// acknowledges commits that syncReplicas others have received.
func (c CopySet) With(servers []plan.Server, syncReplicas int) CopySet {
	copies := slices.Clone(c.copies)
	for _, s := range servers {
		added := Copy{Server: s.ID, Address: s.Address, Domain: s.Domain, StartedAt: s.Report.StartedAt, Draining: s.Draining}
		if i := slices.IndexFunc(copies, func(known Copy) bool { return known.of(s) }); i >= 0 {
			copies[i] = added
		} else {
			copies = append(copies, added)
		}
	}
	if c.syncReplicas > 0 {
		syncReplicas = min(c.syncReplicas, syncReplicas)
	}
	return NewCopySet(CopySetConfig{Copies: copies, SyncReplicas: syncReplicas, Settled: c.settled})
}

// Merge returns the copies of both sets. It is settled only if both are.
func (c CopySet) Merge(other CopySet) CopySet {
	switch {
	case c.Empty():
		return other
	case other.Empty():
		return c
	}
	return NewCopySet(CopySetConfig{Copies: slices.Concat(c.copies, other.copies), SyncReplicas: min(c.syncReplicas, other.syncReplicas), Settled: c.settled && other.settled})
}

// Settle returns the set as settled.
func (c CopySet) Settle() CopySet {
	c.settled = true
	return c
}

// Ended returns the copies whose processes have certainly ended, so that they acknowledge nothing any
// more: a later run of the server is registered, or another server at its address. A missing entry
// doesn't show that, nor does a single refused connection.
func (c CopySet) Ended(registered map[model.ServerID]plan.Server) []Copy {
	var ended []Copy
	for _, known := range c.copies {
		s, ok := registered[known.Server]
		if ok && !known.of(s) || !ok && known.Address != "" && addressTaken(registered, known.Address) {
			ended = append(ended, known)
		}
	}
	return ended
}

// addressTaken reports whether a registered server has the address.
func addressTaken(registered map[model.ServerID]plan.Server, address string) bool {
	for _, s := range registered {
		if s.Address == address {
			return true
		}
	}
	return false
}

// Absent returns the copies whose servers have no entry.
func (c CopySet) Absent(registered map[model.ServerID]plan.Server) []Copy {
	return slices.DeleteFunc(slices.Clone(c.copies), func(known Copy) bool {
		_, ok := registered[known.Server]
		return ok
	})
}

// Without returns the set without copies that have ended. The caller has found everything that they may
// have acknowledged at the primary and at syncReplicas others.
func (c CopySet) Without(ended []Copy, syncReplicas int) CopySet {
	left := slices.DeleteFunc(slices.Clone(c.copies), func(known Copy) bool {
		return slices.ContainsFunc(ended, func(e Copy) bool { return compareCopies(e, known) == 0 })
	})
	return CopySet{copies: left, syncReplicas: syncReplicas, settled: c.settled}
}

// Replicas returns the number of copies besides the primary's, for Covers. The former runs of a server
// that answers as the primary don't count: a primary starts again with its log.
func (c CopySet) Replicas(answers []ReplicaLog) int {
	n := -1
	for _, known := range c.copies {
		if !slices.ContainsFunc(answers, func(r ReplicaLog) bool { return r.Primary && r.Server.ID == known.Server && !known.of(r.Server) }) {
			n++
		}
	}
	return n
}

// Missing returns the servers of the copies that none of the answers is from, each once.
func (c CopySet) Missing(answers []ReplicaLog) []model.ServerID {
	var missing []model.ServerID
	for _, known := range c.copies {
		if !slices.ContainsFunc(answers, func(r ReplicaLog) bool { return known.of(r.Server) || r.Primary && r.Server.ID == known.Server }) {
			missing = append(missing, known.Server)
		}
	}
	return slices.Compact(missing)
}

// Hold reports whether at least syncReplicas of the replicas that answered have received everything up to
// a point of the primary's log.
func Hold(answers []ReplicaLog, point model.Point, syncReplicas int) bool {
	n := 0
	for _, r := range answers {
		if !r.Primary && r.Term >= point.Term() && !r.Point.Less(point) {
			n++
		}
	}
	return n >= syncReplicas
}
