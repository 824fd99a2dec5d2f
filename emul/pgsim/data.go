package pgsim

import (
	"maps"
	"slices"
)

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

// with returns a copy in which the writes are applied. Reads inside a transaction
// that has written use it.
func (d *data) with(writes []write) *data {
	c := &data{
		items:    maps.Clone(d.items),
		ledger:   maps.Clone(d.ledger),
		order:    slices.Clone(d.order),
		outcomes: maps.Clone(d.outcomes),
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
