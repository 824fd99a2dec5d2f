package peer_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/assert"
	"pomelofork/core/lease"
	"pomelofork/core/limit"
	"pomelofork/core/model"
	"pomelofork/io/peer"
)

// errOutage is the error of all calls of a fakeStore that is down.
var errOutage = errors.New("outage")

// fakeStore is a fake of the platform's key-value service, in memory.
type fakeStore struct {
	mu       sync.Mutex
	entries  map[string]peer.Item
	revision uint64
	down     bool
	// loseAnswers makes a swap take effect and still return an error.
	loseAnswers bool
	newerCalls  int
	getCalls    int
	// decodeConfig is passed to the instances. Nil means that they don't read the configuration.
	decodeConfig func(text string) (uint64, []byte, error)
}

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]peer.Item{}} }

func (s *fakeStore) Get(_ context.Context, key string) (peer.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.getCalls++
	if s.down {
		return peer.Item{}, errOutage
	}
	return s.entries[key], nil
}

func (s *fakeStore) Newer(_ context.Context, key string, revision uint64) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false, errOutage
	}
	s.newerCalls++
	return s.entries[key].Revision > revision, nil
}

func (s *fakeStore) Swap(_ context.Context, key string, expected uint64, value string) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, errOutage
	}
	if s.entries[key].Revision != expected {
		return 0, errors.New("conflict")
	}
	s.revision++
	s.entries[key] = peer.Item{Value: value, Revision: s.revision}
	if s.loseAnswers {
		return 0, errors.New("answer lost")
	}
	return s.revision, nil
}

func (s *fakeStore) update(change func(s *fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// shortTiming returns durations with which a test takes seconds.
func shortTiming() peer.Timing {
	return peer.Timing{
		HeartbeatInterval: 50 * time.Millisecond, StorePollInterval: 100 * time.Millisecond, SuspectAfter: 400 * time.Millisecond,
		Lease: lease.Timing{
			EvidenceValidity: 500 * time.Millisecond, GrantValidity: 200 * time.Millisecond,
			TakeoverWait: 800 * time.Millisecond, DrainTimeout: 300 * time.Millisecond,
		},
	}
}

// fleetNode is one instance under test. Its configuration is a version only.
type fleetNode struct {
	*peer.Fleet
	mu      sync.Mutex
	version uint64
}

func (n *fleetNode) configVersion() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version
}

// setVersion sets the configuration version, unless it is lower than the present one.
func (n *fleetNode) setVersion(version uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.version = max(n.version, version)
}

var testServices = []model.ServiceID{"ledger", "orders", "stock"}

// startNode starts one instance in one of four failure domains.
func startNode(store *fakeStore, id int, rate limit.Rate) *fleetNode {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	n := &fleetNode{}
	n.Fleet, err = peer.NewFleet(peer.Config{
		Self: peer.Member{
			Instance:      model.InstanceID(fmt.Sprintf("i%d", id)),
			FailureDomain: model.Domain(fmt.Sprintf("d%d", id%4)),
		},
		Listener:       listener,
		Store:          store,
		Limits:         func(a model.AccountID) (limit.Rate, bool) { return rate, a != "nobody" },
		Services:       func() []model.ServiceID { return testServices },
		ConfigVersion:  n.configVersion,
		ConfigDocument: func(v uint64) ([]byte, bool) { return []byte("document"), v == n.configVersion() },
		OnConfig:       func(v uint64, _ []byte) { n.setVersion(v) },
		Check:          assert.NewChecker(func(i assert.Invariant, text string) { Fail(text) }),
		Timing:         shortTiming(),
		DecodeConfig:   store.decodeConfig,
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(n.Close)
	return n
}

// startNodes starts count instances and waits until all are members.
func startNodes(store *fakeStore, count int, rate limit.Rate) []*fleetNode {
	var nodes []*fleetNode
	for id := range count {
		nodes = append(nodes, startNode(store, id, rate))
	}
	Eventually(func() bool { return allMembers(nodes) }, "20s", "10ms").Should(BeTrue())
	return nodes
}

// allMembers reports whether each instance is ready and knows as many members as there are
// instances in nodes.
func allMembers(nodes []*fleetNode) bool {
	for _, n := range nodes {
		if len(n.Members()) != len(nodes) || !n.Ready() {
			return false
		}
	}
	return true
}

// allRanksHeld reports whether each service has two gateways that may serve it now.
func allRanksHeld(nodes []*fleetNode) bool {
	for _, service := range testServices {
		held := 0
		for _, n := range nodes {
			if _, _, ok := n.Holds(service); ok {
				held++
			}
		}
		if held != lease.ServiceRanks {
			return false
		}
	}
	return true
}

// ranksOf returns the rank that an instance holds of each service.
func ranksOf(n *fleetNode) map[model.ServiceID]int {
	ranks := map[model.ServiceID]int{}
	for _, service := range testServices {
		if rank, _, ok := n.Holds(service); ok {
			ranks[service] = rank
		}
	}
	return ranks
}

// holdersOf returns how many instances hold a rank of a service.
func holdersOf(nodes []*fleetNode, service model.ServiceID, rank int) int {
	count := 0
	for _, n := range nodes {
		if held, _, ok := n.Holds(service); ok && held == rank {
			count++
		}
	}
	return count
}
