package pgsim

import (
	"time"

	"pomelofork/core/model"
)

// entry is one place of a server's log: the writes of one transaction, or none at
// the start of a term.
type entry struct {
	term   model.Term
	writes []write
	// held is since when this server holds the entry.
	held time.Time
}

// write is one change of the data. It must have the same effect on every server.
type write interface {
	apply(d *data)
}

// itemWrite sets or replaces one item.
type itemWrite struct{ key, value string }

func (w itemWrite) apply(d *data) {
	d.items[w.key] = item{value: w.value, version: d.items[w.key].version + 1}
}

// ledgerWrite appends one id. Doubles are kept, so that tests can count them.
type ledgerWrite struct{ id string }

func (w ledgerWrite) apply(d *data) {
	d.ledger[w.id]++
	d.order = append(d.order, w.id)
}

// outcomeWrite records that a request was taken up.
type outcomeWrite struct {
	key         outcomeKey
	fingerprint string
}

func (w outcomeWrite) apply(d *data) {
	d.outcomes[w.key] = outcome{fingerprint: w.fingerprint}
}

// answerWrite adds the answer to a recorded request.
type answerWrite struct {
	key                 outcomeKey
	fingerprint, answer string
}

func (w answerWrite) apply(d *data) {
	if have, ok := d.outcomes[w.key]; ok && have.fingerprint == w.fingerprint {
		d.outcomes[w.key] = outcome{fingerprint: w.fingerprint, answer: &w.answer}
	}
}
