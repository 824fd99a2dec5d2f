package retry

const (
	// attemptShare is the number of further attempts that each first attempt allows.
	attemptShare = 0.2
	// attemptBurst is the number of further attempts that may be made at once: about what one entry
	// has in flight for a service when its primary is replaced.
	attemptBurst = 20
)

// Budget bounds the further attempts of the statements of one service to a share of the first ones.
// The zero value is a full budget. It isn't safe for concurrent use.
//
// Load pattern: servers refuse a part of the statements because they have no room. If each refused
// statement is tried at every server, the servers' gateways have several times the load just when they
// can't serve it.
type Budget struct {
	// spent is what is missing from a full bucket.
	spent float64
}

// First records the first attempt of a statement.
func (b *Budget) First() { b.spent = max(b.spent-attemptShare, 0) }

// Left reports whether a further attempt is left.
func (b *Budget) Left() bool { return b.spent <= attemptBurst-1 }

// Further takes one further attempt from the budget. It returns false if none is left.
func (b *Budget) Further() bool {
	if !b.Left() {
		return false
	}
	b.spent++
	return true
}
