package limit

import (
	"slices"
	"time"
)

// heldGrant is a grant in a token cache.
type heldGrant struct {
	share     int
	id        GrantID
	remaining MicroTokens
	spent     MicroTokens
	reported  MicroTokens
	expires   time.Time
	// shortLived is true if the grant expires so soon that the issuer needs no report of
	// what was spent.
	shortLived bool
}

// report returns the report of what was spent, and records that it was reported.
func (g *heldGrant) report(done bool) Report {
	g.reported = g.spent
	return Report{Grant: g.id, Spent: g.spent, Done: done}
}

// heldGrants are a token cache's grants in the order in which they expire.
type heldGrants struct {
	grants []*heldGrant
}

// add inserts a grant by its expiry.
func (h *heldGrants) add(g *heldGrant) {
	i := len(h.grants)
	for i > 0 && h.grants[i-1].expires.After(g.expires) {
		i--
	}
	h.grants = slices.Insert(h.grants, i, g)
}

// expire removes the grants that may no longer be spent.
func (h *heldGrants) expire(now time.Time) {
	n := 0
	for n < len(h.grants) && !now.Before(h.grants[n].expires) {
		n++
	}
	h.grants = h.grants[n:]
}

// total returns the amount that can be spent.
func (h *heldGrants) total() MicroTokens {
	var total MicroTokens
	for _, g := range h.grants {
		total += g.remaining
	}
	return total
}

// spend takes the whole amount from the grants that expire first. It takes nothing and
// returns false if there is less.
func (h *heldGrants) spend(amount MicroTokens) bool {
	if h.total() < amount {
		return false
	}
	for _, g := range h.grants {
		part := min(amount, g.remaining)
		g.remaining -= part
		g.spent += part
		amount -= part
	}
	return true
}

// takeReports returns the reports due for one share and removes the grants that are used
// up. With returnAll set it removes all grants of the share and returns what remains of them
// to the issuer. They are removed before the reports are sent, so that nothing of them is
// spent even if the reports get lost.
func (h *heldGrants) takeReports(share int, returnAll bool) []Report {
	var reports []Report
	kept := h.grants[:0]
	for _, g := range h.grants {
		if g.share != share {
			kept = append(kept, g)
			continue
		}
		done := g.remaining == 0 || returnAll
		if g.remaining > 0 && done || !g.shortLived && g.spent > g.reported {
			reports = append(reports, g.report(done))
		}
		if !done {
			kept = append(kept, g)
		}
	}
	clear(h.grants[len(kept):])
	h.grants = kept
	return reports
}

// firstExpiry returns when the first grant expires that has tokens left. It returns false
// if there is none.
func (h *heldGrants) firstExpiry() (time.Time, bool) {
	for _, g := range h.grants {
		if g.remaining > 0 {
			return g.expires, true
		}
	}
	return time.Time{}, false
}
