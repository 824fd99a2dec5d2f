package lead_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"pomelofork/core/evac"
	"pomelofork/core/level"
	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/promo"
	"pomelofork/core/stmt"
	"pomelofork/emul/group"
	"pomelofork/emul/lack"
	"pomelofork/io/lead"
	"pomelofork/io/pooler"
	"pomelofork/io/store"
	"pomelofork/io/view"
)

// groupStatus decodes the status of the emulated servers. These receive everything at once, so
// the point of the answer serves as the received one, even when it is zero.
type groupStatus struct{}

func (groupStatus) Status(answer stmt.Answer) (stmt.Status, error) {
	var role, received string
	status := stmt.Status{Received: answer.Point}
	if len(answer.Rows) == 0 {
		return status, errors.New("no row")
	}
	_, err := fmt.Sscan(answer.Rows[0], &role, &status.Term, &received, &status.Held)
	status.Primary = role == "primary"
	return status, err
}

// testCluster is a group of servers, the source of their entries in the store, and the platform
// that promotes them.
type testCluster struct {
	group *group.Group
	mu    sync.Mutex
	// promotions are the fences of the promotions so far.
	promotions []uint64
	fence      uint64
	// refuse makes promotions fail.
	refuse bool
	// draining is the server whose entry says that it is draining, or empty.
	draining model.ServerID
	// points is the number of points that the monitor has reported.
	points       int
	syncReplicas int
	// invalid says that the configuration of the service can't be read.
	invalid bool
	// appointed is the server that was appointed last, and withdrawals counts the appointments
	// of none.
	appointed model.ServerID
	// appointedAt is when that was, and steppedDownAt when the primary was last told to step down.
	appointedAt, steppedDownAt time.Time
	withdrawals                int
	// lacking is the server for a connection to which the monitor has no descriptor, or empty.
	lacking model.ServerID
	// unreached says that the monitor doesn't reach server p. confirms says that the only
	// gateway does, and stopped that the gateway acknowledges a withdrawal.
	unreached, confirms, stopped bool
	// unregistered says that the registration of the gateway has ended.
	unregistered bool
	// age is the age of the copy that the view gets.
	age time.Duration
	// evacuated are the failure domains that are evacuated: those of p, r1 and r2 are "a", "b" and "c".
	// bound is the bound of evacuations.
	evacuated []model.Domain
	bound     time.Duration
	// promoting is called with each promotion, unless it is nil.
	promoting func(*testCluster)
	// gone are the servers without an entry in the store, and copies is the record of the copies of the log,
	// or empty. olderBuild is true if an instance of an older build takes part.
	// unwritable is true if the record can't be written.
	gone                   []model.ServerID
	copies                 []byte
	olderBuild, unwritable bool
	// appoints says that the view learns of appointments, and unconfigured that it doesn't know the
	// configuration.
	appoints, unconfigured bool
	// steppingDown is called before the primary is told to step down, which fails if it returns an error.
	// It may be nil.
	steppingDown func() error
	// told counts the withdrawals that the gateway was told of.
	told int
}

// Holders implements lead.Gateways: there is one gateway.
func (s *testCluster) Holders(plan.Server) []plan.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unregistered {
		return nil
	}
	return []plan.Instance{{ID: "g"}}
}

// Confirm implements lead.Gateways.
func (s *testCluster) Confirm(now time.Time, _ plan.Instance, _ plan.Server, _ bool) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.confirms {
		return time.Time{}
	}
	return now
}

// Withdraw implements lead.Gateways.
func (s *testCluster) Withdraw(time.Time, plan.Instance, model.ServiceID, uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told++
	return s.stopped
}

// Dial implements pooler.Dialer for the monitor.
func (s *testCluster) Dial(ctx context.Context, server plan.Server, account model.AccountID) (pooler.Conn, error) {
	s.mu.Lock()
	unreached, lacking := s.unreached && server.ID == "p", s.lacking == server.ID
	s.mu.Unlock()
	if lacking {
		return nil, lack.Error("socket", syscall.EMFILE)
	}
	if unreached {
		return nil, errors.New("no answer")
	}
	conn, err := group.Dialer{s.group}.Dial(ctx, server, account)
	return watchedConn{conn, s}, err
}

// watchedConn records when the primary is told to step down.
type watchedConn struct {
	pooler.Conn
	cluster *testCluster
}

// Send implements pooler.Conn.
func (c watchedConn) Send(commands []stmt.Command) error {
	if commands[0].Op == stmt.OpStepDown {
		var before func() error
		c.cluster.set(func(s *testCluster) { s.steppedDownAt, before = time.Now(), s.steppingDown })
		if before != nil {
			if err := before(); err != nil {
				return err
			}
		}
	}
	return c.Conn.Send(commands)
}

// appoint records an appointment and returns its epoch.
func (s *testCluster) appoint(_ context.Context, server model.ServerID) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fence++
	s.appointed, s.appointedAt = server, time.Now()
	if server == "" {
		s.withdrawals++
	}
	return s.fence, nil
}

// keepCopies records the copies of the log.
func (s *testCluster) keepCopies(_ context.Context, copies promo.CopySet) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unwritable {
		return store.ErrUnavailable
	}
	value, err := view.CopiesValue(copies, 0)
	s.copies = value
	return err
}

// set changes the cluster.
func (s *testCluster) set(change func(*testCluster)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *testCluster) Name() string { return "cluster" }

// Fetch implements view.Source. It returns the present state of the group.
func (s *testCluster) Fetch(_ context.Context, q view.Query) (view.Update, error) {
	time.Sleep(10 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var entries []store.Entry
	if !s.unconfigured {
		entries = append(entries, store.Entry{Key: "plan"})
	}
	for _, id := range []model.ServerID{"p", "r1", "r2"} {
		if slices.Contains(s.gone, id) {
			continue
		}
		text := "replica"
		if s.group.Server(id).Registration().Primary {
			text = "primary"
		}
		if id == s.draining {
			text += " draining"
		}
		entries = append(entries, store.Entry{Key: string(id), Value: []byte(text), Revision: q.After + 1})
	}
	instance, err := view.InstanceValue(plan.Instance{Level: map[bool]int{true: level.Stated, false: level.Newest}[s.olderBuild]}, 0)
	if err != nil {
		return view.Update{}, err
	}
	entries = append(entries, store.Entry{Key: "own/instance/i", Value: instance, Revision: q.After + 1})
	if s.appoints && s.fence > 0 {
		value, err := view.AppointmentValue(s.appointed, 0)
		if err != nil {
			return view.Update{}, err
		}
		entries = append(entries, store.Entry{Key: "own/primary/s", Value: value, Revision: s.fence})
	}
	if len(s.copies) > 0 {
		entries = append(entries, store.Entry{Key: "own/copies/s", Value: s.copies, Revision: q.After + 1})
	}
	for _, domain := range s.evacuated {
		entries = append(entries, store.Entry{Key: s.EvacuationKey(domain), Revision: q.After + 1})
	}
	return view.Update{Entries: entries, All: true, Revision: q.After + 1, Age: s.age}, nil
}

// Plan, Server, ServerID and ServerKey implement view.Decoder.
func (s *testCluster) Plan(e store.Entry) (*plan.Plan, bool, error) {
	return plan.New(plan.Config{Version: 1, SyncReplicas: map[model.ServiceID]int{"s": s.syncReplicas}, InvalidServices: map[model.ServiceID]bool{"s": s.invalid}}), e.Key == "plan", nil
}

func (s *testCluster) Server(e store.Entry) (plan.Server, bool, error) {
	server := s.group.Server(model.ServerID(e.Key)).Registration()
	server.Primary = string(e.Value)[:7] == "primary"
	server.Draining = len(e.Value) > 7
	server.Revision = e.Revision
	return server, true, nil
}

func (s *testCluster) ServerID(key string) (model.ServerID, bool) {
	return model.ServerID(key), key != "plan"
}
func (s *testCluster) ServerKey(id model.ServerID) string { return string(id) }

// Evacuation implements view.Decoder.
func (s *testCluster) Evacuation(key string) (model.Domain, bool) {
	domain, ok := strings.CutPrefix(key, "evacuate/")
	return model.Domain(domain), ok
}

// EvacuationKey implements view.Decoder.
func (s *testCluster) EvacuationKey(domain model.Domain) string { return "evacuate/" + string(domain) }

// Promote implements lead.Promoter.
func (s *testCluster) Promote(_ context.Context, _ model.ServiceID, server model.ServerID, fence uint64) error {
	s.mu.Lock()
	s.promotions = append(s.promotions, fence)
	if s.promoting != nil {
		s.promoting(s)
	}
	refuse := s.refuse
	s.mu.Unlock()
	if refuse || !s.group.Promote(server) {
		return lead.ErrFenced
	}
	return nil
}

// fences returns the fences of the promotions so far.
func (s *testCluster) fences() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]uint64{}, s.promotions...)
}

// loseSight changes the cluster, and cuts the monitor off from server p, which goes on as primary.
func (s *testCluster) loseSight(change func(*testCluster)) {
	s.set(func(s *testCluster) {
		s.unreached = true
		change(s)
	})
	// This closes the monitor's connection.
	s.group.Server("p").SetDown(true)
	s.group.Server("p").SetDown(false)
}

// start starts a monitor for a group of three servers, each with a limit on its connections.
func start(connections int) *testCluster { return startReplicated(connections, 0) }

// startReplicated does the same for a service each of whose commits is on syncReplicas replicas
// before it is acknowledged.
func startReplicated(connections, syncReplicas int) *testCluster {
	s := &testCluster{group: newGroup(connections), syncReplicas: syncReplicas, stopped: true, bound: time.Hour}
	s.monitor()
	return s
}

// newGroup returns a group of three servers, each with a limit on its connections.
func newGroup(connections int) *group.Group {
	return group.New(group.Config{Service: "s", Connections: connections, Servers: []plan.Server{
		{ID: "p", Service: "s", Slots: 2, Domain: "a"}, {ID: "r1", Service: "s", Slots: 2, Domain: "b"}, {ID: "r2", Service: "s", Slots: 2, Domain: "c"},
	}})
}

// monitor starts a monitor that runs until the returned function is called.
func (s *testCluster) monitor() context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	log := slog.New(slog.DiscardHandler)
	v := view.New(ctx, view.Config{
		OwnPrefix: "own/", Decoder: s, Changed: func(view.State) {}, Log: log, Sources: func(*view.State) []view.Source { return []view.Source{s} },
	})
	lead.New(ctx, lead.Config{
		Service: "s", View: v, Dialer: s, Status: groupStatus{}, Promoter: s, Evacuation: evac.Policy{Bound: s.bound}, Log: log,
		Holds:   func(time.Time) bool { return true },
		Current: func(time.Time) bool { return true },
		Appoint: s.appoint, KeepCopies: s.keepCopies, Gateways: s,
		Allows: func(time.Time, uint64) bool { return true },
		Observe: func(model.ServiceID, time.Time, model.Point) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.points++
		},
	})
	return cancel
}

// confirmed reports whether the primary has reported a point.
func (s *testCluster) confirmed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.points > 0
}
