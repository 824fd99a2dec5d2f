package proxy

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/quota"
	"pomelofork/core/trial"
	"pomelofork/io/relay"
)

const (
	// accountGroups is the number of groups that the client accounts are divided into.
	// Each group has a right for each of its issuers. These are more rights than a small
	// fleet has instances, and far fewer than there are accounts.
	accountGroups = 4
	// drawSlack is the time that the answer to a draw may take beyond the time that the
	// operation can wait for its token: some tens of round trips.
	drawSlack = 40 * time.Millisecond
	// unresponsivePause is the time for which an issuer whose holder did not answer is not
	// asked again: a tenth of the time after which another instance takes over.
	unresponsivePause = 350 * time.Millisecond
	// vacantPause is the same for an issuer whose right nobody holds. Another instance
	// acquires it soon.
	vacantPause = 20 * time.Millisecond
)

// accountIssuerRight names the right to act as one of an account's issuers.
func accountIssuerRight(account model.AccountID, issuer int) string {
	return issuerRight(int(xxhash.Sum64String(string(account))%accountGroups), issuer)
}

// issuerRight names the right to act as one of the issuers of a group of accounts.
func issuerRight(group, issuer int) string { return fmt.Sprintf("rate-%d-%d", group, issuer) }

// tokenDraw is one draw of tokens from an account's issuers.
type tokenDraw struct {
	node    *Node
	account model.AccountID
	// count is the number of the account's issuers.
	count int
	// issuers is shared by all draws of the account at this instance. The lock of the node
	// guards it.
	issuers *quota.IssuerStatus
}

// Draw implements entry.Fleet. The issuers of an account are in different failure
// domains. Instances differ in which issuer they ask first. They ask the others if that
// one has no tokens or can't be reached. If none has tokens, the one that will have some
// first is asked to wait for them, provided that it has them within maxWait.
func (n *Node) Draw(now time.Time, account model.AccountID, prefetch int, maxWait time.Duration) (quota.Grant, bool) {
	p := n.view.State().Plan
	if p == nil {
		return quota.Grant{}, false
	}
	limits, ok := p.Account(account)
	if !ok {
		return quota.Grant{}, false
	}
	d := tokenDraw{node: n, account: account, count: n.issuerCount(limits)}
	n.mu.Lock()
	d.issuers = n.issuers.Get(now, account)
	d.issuers.SetLimits(limits.PerSecond, limits.Burst)
	candidates := d.issuers.Candidates(now, d.count, n.firstIssuer(account, d.count))
	n.mu.Unlock()
	for _, issuer := range candidates {
		if grant, ok := d.ask(now, issuer, prefetch, 0); ok && grant.Tokens > 0 {
			return grant, true
		}
	}
	n.mu.Lock()
	issuer, wait, held := d.issuers.NextAvailable(now, d.count)
	n.mu.Unlock()
	if !held || wait > maxWait {
		return quota.Grant{RetryAfter: wait}, held
	}
	return d.ask(now, issuer, 0, maxWait)
}

// firstIssuer returns the issuer that this instance asks first: the one whose right it
// holds, or else one that depends on its ID. The caller holds the lock.
func (n *Node) firstIssuer(account model.AccountID, count int) int {
	rights := n.view.State().Rights
	for issuer := range count {
		if rights[accountIssuerRight(account, issuer)].Instance == n.config.Self.ID {
			return issuer
		}
	}
	return int(xxhash.Sum64String(string(n.config.Self.ID)) % uint64(count))
}

// ask draws from one issuer and records when that issuer should be asked again. It
// returns false if nobody answered as the issuer.
func (d *tokenDraw) ask(now time.Time, issuer, prefetch int, maxWait time.Duration) (quota.Grant, bool) {
	grant, pause, ok := d.node.drawFromHolder(now, &relay.DrawRequest{Account: d.account, Mint: issuer, Need: 1, Ahead: prefetch, MaxWait: max(maxWait, 0)})
	d.node.mu.Lock()
	defer d.node.mu.Unlock()
	switch {
	case !ok:
		d.issuers.MarkUnreachable(now, issuer, pause)
	case grant.Tokens == 0:
		d.issuers.MarkEmpty(now, issuer, grant.RetryAfter)
	default:
		d.issuers.MarkEmpty(now, issuer, 0)
	}
	return grant, ok
}

// drawFromHolder draws from the instance that holds the issuer's right. It returns false
// if there is none or it did not answer, and then the time for which the issuer should
// not be asked again.
func (n *Node) drawFromHolder(now time.Time, request *relay.DrawRequest) (grant quota.Grant, pause time.Duration, ok bool) {
	if grant, ok := n.drawLocally(now, request); ok {
		return grant, 0, true
	}
	state := n.view.State()
	holder, ok := state.Rights[accountIssuerRight(request.Account, request.Mint)]
	if !ok {
		return quota.Grant{}, vacantPause, false
	}
	inst, ok := state.Instances[holder.Instance]
	if !ok || inst.ID == n.config.Self.ID {
		return quota.Grant{}, vacantPause, false
	}
	if !n.peer(inst).Reachable(now) {
		n.peerUnresponsive.Store(true)
		return quota.Grant{}, unresponsivePause, false
	}
	response, err := n.peer(inst).Draw(now, request, request.MaxWait+drawSlack)
	if err != nil {
		n.endLeaseIfRefused(inst, err)
		n.peerUnresponsive.Store(true)
		return quota.Grant{}, unresponsivePause, false
	}
	return quota.Grant{Tokens: min(response.Tokens, request.Need+request.Ahead), Delay: response.Delay, RetryAfter: response.RetryAfter}, vacantPause, response.Holds
}

// drawLocally draws from this instance. It returns false if this instance doesn't hold
// the issuer's right, or the account doesn't have that issuer.
func (n *Node) drawLocally(now time.Time, request *relay.DrawRequest) (quota.Grant, bool) {
	name := accountIssuerRight(request.Account, request.Mint)
	since, _, ok := n.rights.Holds(now, name)
	p := n.view.State().Plan
	if !ok || p == nil {
		return quota.Grant{}, false
	}
	limits, ok := p.Account(request.Account)
	if !ok || request.Mint >= n.issuerCount(limits) {
		return quota.Grant{}, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.issuerBucket(now, limits, request.Mint, since).Draw(now, request.Need, request.Ahead, request.MaxWait), true
}

// issuerCount returns the number of an account's issuers.
func (n *Node) issuerCount(limits plan.Account) int {
	if n.config.Disabled.Has(trial.SharedIssuers) {
		return 1
	}
	return quota.IssuerCount(limits.PerSecond)
}

// issuerShare returns one issuer's part of an account's rate and burst.
func (n *Node) issuerShare(limits plan.Account) (perSecond, burst float64) {
	if n.config.Disabled.Has(trial.SharedIssuers) {
		return limits.PerSecond, limits.Burst
	}
	return quota.IssuerShare(limits.PerSecond, limits.Burst)
}

// issuerKey identifies one issuer of one account.
type issuerKey struct {
	account model.AccountID
	issuer  int
}

// issuerBucket returns the token bucket of an issuer whose right this instance has held
// since the given time. A bucket from an earlier time as the holder is replaced by an
// empty one, or by one with a few tokens if the right was kept over a restart. The caller
// holds the lock.
func (n *Node) issuerBucket(now time.Time, limits plan.Account, issuer int, since time.Time) *quota.Bucket {
	perSecond, burst := n.issuerShare(limits)
	key := issuerKey{limits.ID, issuer}
	b := n.buckets.Get(now, key)
	if b.quota == nil || !b.since.Equal(since) {
		tokens := 0
		if n.rights.Kept(accountIssuerRight(limits.ID, issuer)) && !n.config.Disabled.Has(trial.RestartTokens) {
			tokens = n.config.AccountCap.RestartTokens(limits.PerSecond, limits.Burst)
		}
		*b = bucket{quota: quota.NewRestartedBucket(since, perSecond, burst, tokens), since: since}
	}
	b.quota.SetLimits(now, perSecond, burst)
	return b.quota
}
