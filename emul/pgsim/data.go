package pgsim

import "slices"

// item is one row of the table items.
type item struct {
	value   string
	version int
}

// outcomeKey is the primary key of the table request_outcomes.
type outcomeKey struct{ account, request string }

// outcome is one row of request_outcomes. The answer is nil (NULL) until it is set.
type outcome struct {
	fingerprint string
	answer      *string
}

// data is the content of the tables after the applied part of a server's log. The ledger
// holds the number of inserts by id, and ledgerIDs holds the ids in the order of the
// inserts.
type data struct {
	items     map[string]item
	ledger    map[string]int
	ledgerIDs []string
	outcomes  map[outcomeKey]outcome
}

func newData() *data {
	return &data{items: map[string]item{}, ledger: map[string]int{}, outcomes: map[outcomeKey]outcome{}}
}

// lookup selects the rows that a statement reads. Empty fields select nothing.
type lookup struct {
	item     string
	ledgerID string
	outcome  outcomeKey
	// wholeLedger says that the statement reads every id.
	wholeLedger bool
}

// withWrites returns the selected rows with the given writes applied. It serves reads in a
// transaction that has written. It copies only the selected rows, because a copy of all
// data would take longer with every entry of the log.
func (d *data) withWrites(writes []write, l lookup) *data {
	result := newData()
	if row, ok := d.items[l.item]; ok {
		result.items[l.item] = row
	}
	if n, ok := d.ledger[l.ledgerID]; ok {
		result.ledger[l.ledgerID] = n
	}
	if row, ok := d.outcomes[l.outcome]; ok {
		result.outcomes[l.outcome] = row
	}
	if l.wholeLedger {
		result.ledgerIDs = slices.Clone(d.ledgerIDs)
	}
	for _, w := range writes {
		w.apply(result)
	}
	return result
}

// countDuplicates returns the number of ledger ids that were inserted more than once.
func (d *data) countDuplicates() int {
	n := 0
	for _, count := range d.ledger {
		if count > 1 {
			n++
		}
	}
	return n
}
