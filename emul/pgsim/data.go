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

// data is what a server has applied of its log.
type data struct {
	items    map[string]item
	ledger   map[string]int
	order    []string
	outcomes map[outcomeKey]outcome
}

func newData() *data {
	return &data{items: map[string]item{}, ledger: map[string]int{}, outcomes: map[outcomeKey]outcome{}}
}

// lookup names the rows that a statement reads.
type lookup struct {
	item    string
	id      string
	outcome outcomeKey
	// ledger says that every id is read.
	ledger bool
}

// with returns the looked-up rows with the writes applied. Reads inside a transaction
// that has written use it; copying the rest would take longer with every entry.
func (d *data) with(writes []write, l lookup) *data {
	c := newData()
	if one, ok := d.items[l.item]; ok {
		c.items[l.item] = one
	}
	if n, ok := d.ledger[l.id]; ok {
		c.ledger[l.id] = n
	}
	if one, ok := d.outcomes[l.outcome]; ok {
		c.outcomes[l.outcome] = one
	}
	if l.ledger {
		c.order = slices.Clone(d.order)
	}
	for _, w := range writes {
		w.apply(c)
	}
	return c
}

// doubled counts the ledger ids that were inserted more than once.
func (d *data) doubled() int {
	n := 0
	for _, count := range d.ledger {
		if count > 1 {
			n++
		}
	}
	return n
}
