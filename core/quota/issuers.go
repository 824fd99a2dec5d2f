package quota

import (
	"math"
	"time"
)

const (
	// MaxIssuers is the largest number of issuers that share an account's rate. While one
	// of three is unreachable the others still issue two thirds of the rate, which is as
	// much as most accounts use.
	MaxIssuers = 3
	// minRatePerIssuer is the smallest rate that justifies one more issuer, in operations
	// a second. Below it, the tokens available in all buckets would often be fractions of
	// one operation in each.
	minRatePerIssuer = 4
)

// IssuerCount returns the number of issuers that share a rate, from 1 to MaxIssuers.
func IssuerCount(perSecond float64) int {
	return max(1, min(MaxIssuers, int(perSecond/minRatePerIssuer)))
}

// IssuerShare returns one issuer's part of an account's rate and burst. The part of the
// burst is rounded up to whole tokens.
func IssuerShare(perSecond, burst float64) (float64, float64) {
	n := float64(IssuerCount(perSecond))
	return perSecond / n, math.Ceil(burst / n)
}

// IssuerStatus records, at one entry, from when on each issuer of one account should be
// asked again. With the zero value all of them may be asked. It isn't safe for concurrent
// use.
type IssuerStatus struct {
	perSecond, burst float64
	retryAt          [MaxIssuers]time.Time
	unreachable      [MaxIssuers]bool
}

// SetLimits sets the account's whole rate and burst. If they have changed, all issuers may be asked: an empty
// issuer said when its next token accrues at the former rate. At a rate of zero that is never.
func (s *IssuerStatus) SetLimits(perSecond, burst float64) {
	if s.perSecond != perSecond || s.burst != burst {
		*s = IssuerStatus{perSecond: perSecond, burst: burst}
	}
}

// Candidates returns those of the account's count issuers that may be asked now, starting
// with first.
func (s *IssuerStatus) Candidates(now time.Time, count, first int) []int {
	var candidates []int
	for i := range count {
		issuer := (first + i) % count
		if !now.Before(s.retryAt[issuer]) {
			candidates = append(candidates, issuer)
		}
	}
	return candidates
}

// MarkEmpty records that an issuer answered and has no tokens for the given time. Zero
// means that it can be asked again at once.
func (s *IssuerStatus) MarkEmpty(now time.Time, issuer int, span time.Duration) {
	s.retryAt[issuer], s.unreachable[issuer] = now.Add(span), false
}

// MarkUnreachable records that an issuer has no holder or that its holder did not answer,
// so that it isn't asked for the given time.
func (s *IssuerStatus) MarkUnreachable(now time.Time, issuer int, span time.Duration) {
	s.retryAt[issuer], s.unreachable[issuer] = now.Add(span), true
}

// NextAvailable returns the reachable issuer that will have tokens first, and the time
// until then. It returns false if all of the account's count issuers are unreachable.
func (s *IssuerStatus) NextAvailable(now time.Time, count int) (issuer int, wait time.Duration, ok bool) {
	for i := range count {
		if !s.unreachable[i] && (!ok || s.retryAt[i].Before(s.retryAt[issuer])) {
			issuer, ok = i, true
		}
	}
	return issuer, max(s.retryAt[issuer].Sub(now), 0), ok
}
