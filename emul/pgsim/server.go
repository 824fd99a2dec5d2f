package pgsim

import (
	"context"
	"net"
	"time"

	"pomelofork/core/model"
)

// server is one backend server. Its log, promise and role survive a kill. All
// fields below group are guarded by the group's lock.
type server struct {
	id      model.ServerID
	group   *Group
	address string
	slots   *slots

	listener net.Listener
	sessions map[*session]struct{}
	// changed is closed and replaced whenever anything of the server changes.
	changed chan struct{}
	// wake makes the replication loop look again.
	wake chan struct{}

	log      []entry
	applied  int
	data     *data
	promised model.Term
	primary  bool
	// deposed is true from being fenced as primary until a newer primary is heard.
	deposed bool
	heard   time.Time

	killed, frozen, cut, leaving bool
	cutFrom                      map[model.ServerID]bool
	receiveLag, applyLag         time.Duration
	counters                     Counters
}

func newServer(g *Group, id model.ServerID) *server {
	return &server{
		id:         id,
		group:      g,
		slots:      newSlots(g.conf.Slots),
		sessions:   map[*session]struct{}{},
		changed:    make(chan struct{}),
		wake:       make(chan struct{}, 1),
		data:       newData(),
		heard:      time.Now(),
		cutFrom:    map[model.ServerID]bool{},
		receiveLag: g.conf.ReceiveLag,
		applyLag:   g.conf.ApplyLag,
	}
}

// notify tells everybody who waits for a change. The caller holds the lock.
func (s *server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// locked runs f under the group's lock once the server isn't frozen. It fails when
// ctx has ended, which a kill does under the same lock.
func (s *server) locked(ctx context.Context, f func() error) error {
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

// silent says that nothing of the server reaches anybody. The caller holds the lock.
func (s *server) silent() bool { return s.killed || s.frozen || s.cut }

// point returns the log point at index n. The caller holds the lock.
func (s *server) point(n int) model.Point {
	if n == 0 {
		return model.Point{}
	}
	return model.NewPoint(s.log[n-1].term, model.Position(n))
}
