package pgsim

import (
	"strconv"
	"time"
)

// readData returns the data that the statement sees, as visibleData does, and sets the
// applied log point as the one to report. The caller holds the lock.
func (c *call) readData(l lookup) *data {
	s := c.session
	s.pointToReport = s.server.logPoint(s.server.applied)
	return s.ensureTransaction().visibleData(s.server, l)
}

// bufferWrite adds a write to the transaction and returns a result with the command tag.
// The caller holds the lock.
func (c *call) bufferWrite(tag string, w write) (result, error) {
	if err := c.session.ensureTransaction().addWrite(c.session.server, w); err != nil {
		return result{}, err
	}
	return result{tag: tag}, nil
}

// selectResult returns the result of a SELECT with the given rows.
func selectResult(all ...[]*string) result {
	return result{rows: all, tag: "SELECT " + strconv.Itoa(len(all))}
}

func (c *call) readItem() (result, error) {
	row, ok := c.readData(lookup{item: c.args[0]}).items[c.args[0]]
	if !ok {
		return selectResult(), nil
	}
	return selectResult([]*string{textValue(row.value), countValue(row.version)}), nil
}

func (c *call) readCount() (result, error) {
	n, ok := c.readData(lookup{ledgerID: c.args[0]}).ledger[c.args[0]]
	if !ok {
		return selectResult(), nil
	}
	return selectResult([]*string{countValue(n)}), nil
}

func (c *call) readLedger() (result, error) {
	var all [][]*string
	for _, id := range c.readData(lookup{wholeLedger: true}).ledgerIDs {
		all = append(all, []*string{textValue(id)})
	}
	return selectResult(all...), nil
}

func (c *call) readOutcome() (result, error) {
	key := outcomeKey{account: c.args[0], request: c.args[1]}
	row, ok := c.readData(lookup{outcome: key}).outcomes[key]
	if !ok {
		return selectResult(), nil
	}
	return selectResult([]*string{textValue(row.fingerprint), row.answer}), nil
}

func (c *call) selectValue() (result, error) {
	c.readData(lookup{})
	return selectResult([]*string{textValue(c.args[0])}), nil
}

// insertOutcome inserts a row into request_outcomes. It fails at once if the row exists. If
// two open transactions insert the same row, the second one to commit fails.
func (c *call) insertOutcome() (result, error) {
	s := c.session
	key := outcomeKey{account: c.args[0], request: c.args[1]}
	if _, exists := s.ensureTransaction().visibleData(s.server, lookup{outcome: key}).outcomes[key]; exists && s.server.primary {
		return result{}, errDuplicateRequest
	}
	w := outcomeWrite{key: key, fingerprint: c.args[2]}
	if len(c.args) > 3 {
		w.answer = textValue(c.args[3])
	}
	return c.bufferWrite("INSERT 0 1", w)
}

// updateOutcome sets the answer in the row of a recorded request. It updates no row if the
// fingerprint differs.
func (c *call) updateOutcome() (result, error) {
	s := c.session
	w := answerWrite{key: outcomeKey{account: c.args[1], request: c.args[2]}, fingerprint: c.args[3], answer: c.args[0]}
	if current, ok := s.ensureTransaction().visibleData(s.server, lookup{outcome: w.key}).outcomes[w.key]; !ok || current.fingerprint != w.fingerprint {
		return result{tag: "UPDATE 0"}, nil
	}
	return c.bufferWrite("UPDATE 1", w)
}

// sleep occupies a slot for the given number of seconds.
func (c *call) sleep() (result, error) {
	seconds, err := strconv.ParseFloat(c.args[0], 64)
	if err != nil {
		return result{}, errBadParameter
	}
	return c.withSlot(time.Duration(seconds*float64(time.Second)), func() (result, error) {
		c.session.ensureTransaction()
		return selectResult([]*string{textValue("")}), nil
	})
}
