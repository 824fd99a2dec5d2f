package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pomelofork/core/model"
)

// openingWork is what a new connection takes of a server and of its first statement, if that isn't known
// better: about the work of the largest usual statements.
const openingWork = 12 * time.Millisecond

// OpeningCost returns the expected cost of a read at a server that its account doesn't usually read from,
// if that many accounts use each server and its gateway opens that many connections to it. It is zero if
// each account can have one.
func OpeningCost(accounts, connections int) time.Duration {
	if connections <= 0 || accounts <= connections {
		return 0
	}
	return openingWork * time.Duration(accounts-connections) / time.Duration(accounts)
}

// MarkUsual notes in the candidates of a read that connections are scarce and what opening one is expected to
// cost, unless that is zero. The usual server of an account's reads is a replica by rendezvous hashing, the
// same for all entries. The primary runs the account's writes, so that the account has a connection there.
func MarkUsual(account model.AccountID, opening time.Duration, candidates []Candidate) {
	if opening <= 0 {
		return
	}
	usual, best := -1, uint64(0)
	for i := range candidates {
		c := &candidates[i]
		c.Scarce = true
		if c.Server.Primary || c.Server.Draining {
			continue
		}
		c.Opening = opening
		if score := xxhash.Sum64String(string(account) + "\x00" + string(c.Server.ID)); usual < 0 || score > best {
			usual, best = i, score
		}
	}
	if usual >= 0 {
		candidates[usual].Opening = 0
	}
}
