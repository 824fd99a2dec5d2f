package pgsim

import (
	"time"

	"pomelofork/core/model"
)

// logEntry is one entry of a server's log: the writes of one transaction, or no writes if
// it is the first entry of a term.
type logEntry struct {
	term   model.Term
	writes []write
	// receivedAt is the time at which this server received or appended the entry.
	receivedAt time.Time
}

// write is one change of the data. Applied to the same data, it must have the same effect
// on every server.
type write interface {
	apply(d *data)
}

// itemWrite inserts an item, or replaces its value, and increments its version.
type itemWrite struct{ key, value string }

func (w itemWrite) apply(d *data) {
	d.items[w.key] = item{value: w.value, version: d.items[w.key].version + 1}
}

// ledgerWrite appends one id to the table ledger. The table has no unique key, so that
// tests can count the ids that were inserted more than once.
type ledgerWrite struct{ id string }

func (w ledgerWrite) apply(d *data) {
	d.ledger[w.id]++
	d.ledgerIDs = append(d.ledgerIDs, w.id)
}

// outcomeWrite inserts a row into request_outcomes, which records that the execution of a
// request has begun.
type outcomeWrite struct {
	key         outcomeKey
	fingerprint string
	// answer is nil if the row has none yet.
	answer *string
}

func (w outcomeWrite) apply(d *data) {
	d.outcomes[w.key] = outcome{fingerprint: w.fingerprint, answer: w.answer}
}

// answerWrite sets the answer in the row of a recorded request. It does nothing if the
// fingerprint differs.
type answerWrite struct {
	key                 outcomeKey
	fingerprint, answer string
}

func (w answerWrite) apply(d *data) {
	if current, ok := d.outcomes[w.key]; ok && current.fingerprint == w.fingerprint {
		d.outcomes[w.key] = outcome{fingerprint: w.fingerprint, answer: &w.answer}
	}
}
