package pgsim

import (
	"context"
	"net"
	"time"

	"pomelofork/core/model"
)

// server is one backend server. Its log, promised term and role survive a kill, as if they
// were stored on disk. Group.mu guards all fields but id, group and slots.
type server struct {
	id      model.ServerID
	group   *Group
	address string
	slots   *slots

	listener net.Listener
	sessions map[*session]struct{}
	// changed is closed and replaced whenever the state of the server changes.
	changed chan struct{}
	// replicateNow makes the replication loop run its next step without waiting for its
	// timer.
	replicateNow chan struct{}

	log []logEntry
	// applied is the number of log entries whose writes are in data.
	applied int
	data    *data
	// promised is the highest term that the server knows, from a fence, from becoming primary
	// or from the primary that it follows. It accepts nothing from a lower term.
	promised model.Term
	primary  bool
	// fencedPrimary is true from the time that the server was fenced as primary until it
	// follows a newer primary.
	fencedPrimary      bool
	lastPrimaryContact time.Time

	killed, frozen, cut, leaving bool
	cutFrom                      map[model.ServerID]bool
	receiveLag, applyLag         time.Duration
	counters                     Counters
}

func newServer(g *Group, id model.ServerID) *server {
	return &server{
		id:                 id,
		group:              g,
		slots:              newSlots(g.conf.Slots),
		sessions:           map[*session]struct{}{},
		changed:            make(chan struct{}),
		replicateNow:       make(chan struct{}, 1),
		data:               newData(),
		lastPrimaryContact: time.Now(),
		cutFrom:            map[model.ServerID]bool{},
		receiveLag:         g.conf.ReceiveLag,
		applyLag:           g.conf.ApplyLag,
	}
}

// notifyChange wakes everything that waits for a change of the server, including the
// replication loop. The caller holds the lock.
func (s *server) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
	select {
	case s.replicateNow <- struct{}{}:
	default:
	}
}

// withLock runs f under the group's lock as soon as the server isn't frozen. If ctx has
// ended, it returns the cause and doesn't run f. A kill ends the context of each session
// under the same lock, so f never runs on a killed server.
func (s *server) withLock(ctx context.Context, f func() error) error {
	s.group.mu.Lock()
	for s.frozen && ctx.Err() == nil {
		changed := s.changed
		s.group.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		s.group.mu.Lock()
	}
	defer s.group.mu.Unlock()
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return f()
}

// unreachable reports whether the server exchanges no messages with clients or other
// servers. The caller holds the lock.
func (s *server) unreachable() bool { return s.killed || s.frozen || s.cut }

// logPoint returns the log point of the first n entries, or the zero point if n is 0. The
// caller holds the lock.
func (s *server) logPoint(n int) model.Point {
	if n == 0 {
		return model.Point{}
	}
	return model.NewPoint(s.log[n-1].term, model.Position(n))
}
