package pgsim

import (
	"strconv"
	"time"
)

// view notes the applied point that a read saw and returns the data. The caller
// holds the lock.
func (c *call) view(l lookup) *data {
	s := c.session
	s.seen = s.server.point(s.server.applied)
	return s.open().view(s.server, l)
}

// write buffers a write. The caller holds the lock.
func (c *call) write(tag string, w write) (result, error) {
	if err := c.session.open().add(c.session.server, w); err != nil {
		return result{}, err
	}
	return result{tag: tag}, nil
}

// rows returns a result with its tag.
func rows(all ...[]*string) result {
	return result{rows: all, tag: "SELECT " + strconv.Itoa(len(all))}
}

func (c *call) readItem() (result, error) {
	one, ok := c.view(lookup{item: c.args[0]}).items[c.args[0]]
	if !ok {
		return rows(), nil
	}
	return rows([]*string{text(one.value), count(one.version)}), nil
}

func (c *call) readCount() (result, error) {
	n, ok := c.view(lookup{id: c.args[0]}).ledger[c.args[0]]
	if !ok {
		return rows(), nil
	}
	return rows([]*string{count(n)}), nil
}

func (c *call) readLedger() (result, error) {
	var all [][]*string
	for _, id := range c.view(lookup{ledger: true}).order {
		all = append(all, []*string{text(id)})
	}
	return rows(all...), nil
}

func (c *call) readOutcome() (result, error) {
	key := outcomeKey{account: c.args[0], request: c.args[1]}
	one, ok := c.view(lookup{outcome: key}).outcomes[key]
	if !ok {
		return rows(), nil
	}
	return rows([]*string{text(one.fingerprint), one.answer}), nil
}

func (c *call) selectValue() (result, error) {
	c.view(lookup{})
	return rows([]*string{text(c.args[0])}), nil
}

// record inserts into request_outcomes. A row that is there already is refused at
// once; two transactions that both insert it meet again at commit.
func (c *call) record() (result, error) {
	s := c.session
	key := outcomeKey{account: c.args[0], request: c.args[1]}
	if _, there := s.open().view(s.server, lookup{outcome: key}).outcomes[key]; there && s.server.primary {
		return result{}, duplicate
	}
	return c.write("INSERT 0 1", outcomeWrite{key: key, fingerprint: c.args[2]})
}

// answer sets the answer of a recorded request.
func (c *call) answer() (result, error) {
	s := c.session
	w := answerWrite{key: outcomeKey{account: c.args[1], request: c.args[2]}, fingerprint: c.args[3], answer: c.args[0]}
	if have, ok := s.open().view(s.server, lookup{outcome: w.key}).outcomes[w.key]; !ok || have.fingerprint != w.fingerprint {
		return result{tag: "UPDATE 0"}, nil
	}
	return c.write("UPDATE 1", w)
}

// sleep keeps a slot for the given number of seconds.
func (c *call) sleep() (result, error) {
	seconds, err := strconv.ParseFloat(c.args[0], 64)
	if err != nil {
		return result{}, badParameter
	}
	return c.inSlot(time.Duration(seconds*float64(time.Second)), func() (result, error) {
		c.session.open()
		return rows([]*string{text("")}), nil
	})
}
