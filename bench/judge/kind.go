package judge

// Kind says what one operation does.
type Kind string

// The kinds of operations. Their names are part of the history's JSON form.
const (
	// KindPost writes one ledger entry and one item outside a transaction block
	// of the caller, as one pipelined batch.
	KindPost Kind = "post"
	// KindOrder writes two ledger entries and a pair of items in one transaction.
	KindOrder Kind = "order"
	// KindStock reads an item on a route that accepts data of a stated age.
	KindStock Kind = "stock"
	// KindStatus reads an item on a route that accepts no age.
	KindStatus Kind = "status"
)

// Writes reports whether operations of this kind write.
func (k Kind) Writes() bool { return k == KindPost || k == KindOrder }
