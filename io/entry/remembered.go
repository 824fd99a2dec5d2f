package entry

import (
	"time"

	"pomelofork/core/bound"
	"pomelofork/core/fresh"
	"pomelofork/core/keep"
	"pomelofork/core/model"
)

const (
	// maxRemembered is the number of services, servers or accounts up to which an entry forgets nothing of them. It is
	// above the number of databases that one fleet is made for.
	maxRemembered = 1000
	// unusedFor is the time after its last use from which something may be forgotten. It is longer than the age that
	// any route accepts and than the life of a token.
	unusedFor = time.Minute
)

// remembered is what an entry remembers from one statement to the next, beside what belongs to a session. The lock of
// the entry guards it. All of it may be forgotten: a read then asks for a point, and an operation for a token.
type remembered struct {
	// histories are the known points of each service.
	histories *bound.Map[model.ServiceID, *fresh.History]
	// servers is what was learned of each server from its results.
	servers *bound.Map[model.ServerID, *serverStats]
	// gaps is what is known of the times without a primary of each service.
	gaps *bound.Map[model.ServiceID, *primaryGap]
	// scarcities are the beliefs whether connections to the servers of a service are scarce.
	scarcities *bound.Map[model.ServiceID, *keep.Scarcity]
	// accountTokens are the tokens of each account.
	accountTokens *bound.Map[model.AccountID, *accountTokens]
}

func newRemembered() remembered {
	return remembered{
		histories:     newBounded[model.ServiceID](nil, func() *fresh.History { return &fresh.History{} }),
		servers:       newBounded[model.ServerID](func(s *serverStats) bool { return s.inFlight > 0 }, func() *serverStats { return &serverStats{} }),
		gaps:          newBounded[model.ServiceID](func(g *primaryGap) bool { return g.waiting > 0 }, func() *primaryGap { return &primaryGap{} }),
		scarcities:    newBounded[model.ServiceID](nil, func() *keep.Scarcity { return &keep.Scarcity{} }),
		accountTokens: newBounded[model.AccountID](nil, func() *accountTokens { return &accountTokens{} }),
	}
}

func newBounded[K comparable, V any](inUse func(V) bool, create func() V) *bound.Map[K, V] {
	return bound.NewMap(bound.Config[K, V]{Limit: maxRemembered, Unused: unusedFor, InUse: inUse, New: func(K) V { return create() }})
}

// Remembered returns how many services, servers and accounts the entry remembers something of, by what that is, and
// the bytes that the sessions remember.
func (e *Entry) Remembered() (counts map[string]int, sessionBytes int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &e.remembered
	return map[string]int{
		"histories": r.histories.Len(), "servers": r.servers.Len(), "gaps": r.gaps.Len(), "scarcities": r.scarcities.Len(), "account_tokens": r.accountTokens.Len(),
	}, e.settings.used.Load()
}
