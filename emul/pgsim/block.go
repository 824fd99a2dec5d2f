package pgsim

import (
	"strings"
)

func (c *call) begin(only bool) (result, error) {
	s := c.session
	if s.tx == nil || !s.tx.block {
		// What an implicit transaction of the same batch has written joins the block.
		t := s.open()
		t.block, t.readOnly = true, t.readOnly || only
	}
	return result{tag: "BEGIN"}, nil
}

// commit takes a slot, as it makes the transaction durable.
func (c *call) commit() (result, error) {
	s := c.session
	if s.tx != nil && s.tx.failed {
		s.tx = nil
		return result{tag: "ROLLBACK"}, nil
	}
	if s.tx == nil || len(s.tx.writes) == 0 {
		s.tx = nil
		return result{tag: "COMMIT"}, nil
	}
	return c.inSlot(s.server.group.conf.StatementCost, func() (result, error) {
		if err := s.finish(c.ctx); err != nil {
			return result{}, err
		}
		return result{tag: "COMMIT"}, nil
	})
}

func (c *call) rollback() (result, error) {
	c.session.tx = nil
	return result{tag: "ROLLBACK"}, nil
}

// set takes "name = value", "name to value", each also after "session".
func (c *call) set(rest string) (result, error) {
	words := strings.Fields(strings.TrimPrefix(strings.TrimPrefix(rest, "session "), "local "))
	if len(words) >= 3 && (words[1] == "=" || words[1] == "to") {
		to := strings.Join(words[2:], " ")
		if to == "?" && len(c.args) > 0 {
			to = c.args[0]
		}
		c.session.settings[words[0]] = strings.ToLower(to)
	}
	return result{tag: "SET"}, nil
}

func (c *call) show(name string) (result, error) {
	return rows([]*string{text(c.session.settings[name])}), nil
}

// reset clears settings and prepared statements, as a pool does between uses.
func (c *call) reset(verb, rest string) (result, error) {
	s := c.session
	switch {
	case verb == "reset" || (verb == "discard" && rest == "all"):
		s.settings = map[string]string{"default_transaction_read_only": "off"}
	}
	switch {
	case rest == "all" && verb != "reset":
		clear(s.statements)
	case verb == "deallocate":
		delete(s.statements, strings.TrimPrefix(rest, "prepare "))
	}
	return result{tag: strings.ToUpper(verb)}, nil
}
