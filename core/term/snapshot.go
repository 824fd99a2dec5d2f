// Package term decides everything about the terms of one service, which is served by
// a group of backend servers with a replicated log: which server is the primary, what
// each server holds, whether a commit can still be lost, and when and how another
// server is promoted.
//
// Each primary has its own term, and terms only grow. A server that is fenced for a
// term promises it: from then on it takes part in no older term. A new primary is
// promoted only after a majority of the group has promised its term, so every
// acknowledged write is on at least one server that it could be chosen from.
//
// The package does no input or output. A Machine takes statuses, faults and the time,
// and returns the Actions that its caller has to carry out.
package term

import (
	"time"

	"pomelofork/core/model"
)

// ServerView is what is known of one backend server as of its last status.
type ServerView struct {
	ID model.ServerID
	// RequestedAt is when the status request was sent whose answer gave this view.
	RequestedAt time.Time
	// Applied is the last log entry that reads on this server see.
	Applied model.Point
	// Log is the last log entry that the server holds durably.
	Log model.Point
	// Promised is the newest term that the server was fenced for.
	Promised model.Term
	// Primary says that the server believes that it is the primary of Promised.
	Primary bool
	// Reachable is false if the last status request failed or its answer is overdue.
	Reachable bool
	// Leaving says that the server must get no new work.
	Leaving bool
	// FreshAsOf is a time such that the server has applied everything that was
	// committed before it. A read that accepts data of age a may run here while
	// now-FreshAsOf <= a.
	FreshAsOf time.Time
}

// Snapshot is what is known of one service at one moment. It is immutable.
type Snapshot struct {
	primary   model.ServerID
	term      model.Term
	confirmed time.Time
	committed model.Point
	servers   map[model.ServerID]ServerView
}

// SnapshotConfig holds the parts of a Snapshot.
type SnapshotConfig struct {
	// Primary is the primary of Term, or empty while none is known.
	Primary model.ServerID
	// Term is the newest term known.
	Term model.Term
	// Confirmed is the latest time as of which a majority had promised no term newer
	// than Term: the statuses of that majority were all requested after it.
	Confirmed time.Time
	// Committed is the last log point of Term that a majority holds durably.
	Committed model.Point
	// Servers holds the view of each server in the group.
	Servers map[model.ServerID]ServerView
}

// NewSnapshot returns the snapshot with the given parts. It keeps c.Servers, which
// the caller must not change afterwards.
func NewSnapshot(c SnapshotConfig) Snapshot {
	return Snapshot{primary: c.Primary, term: c.Term, confirmed: c.Confirmed, committed: c.Committed, servers: c.Servers}
}

// Primary returns the primary of the newest term, and false while none is known.
func (s Snapshot) Primary() (model.ServerID, bool) { return s.primary, s.primary != "" }

// Term returns the newest term known.
func (s Snapshot) Term() model.Term { return s.term }

// Confirmed returns the latest time as of which Primary had certainly not been
// replaced.
func (s Snapshot) Confirmed() time.Time { return s.confirmed }

// Committed returns the last log point that no failover can lose.
func (s Snapshot) Committed() model.Point { return s.committed }

// Server returns the view of one server, and false if it is not in the group.
func (s Snapshot) Server(id model.ServerID) (ServerView, bool) {
	view, ok := s.servers[id]
	return view, ok
}

// Servers returns the views of all servers. The caller must not change the map.
func (s Snapshot) Servers() map[model.ServerID]ServerView { return s.servers }
