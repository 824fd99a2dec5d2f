package pgsim

import (
	"strings"
)

func (c *call) begin(readOnly bool) (result, error) {
	s := c.session
	if s.tx == nil || !s.tx.block {
		// An implicit transaction of the same batch becomes part of the block.
		t := s.ensureTransaction()
		t.block, t.readOnly = true, t.readOnly || readOnly
	}
	return result{tag: "BEGIN"}, nil
}

// commit ends the transaction block. It occupies a slot if the transaction has written,
// because only then is there something to make durable.
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
	return c.withSlot(s.server.group.conf.StatementCost, func() (result, error) {
		if err := s.commitTransaction(c.ctx); err != nil {
			return result{}, err
		}
		return result{tag: "COMMIT"}, nil
	})
}

func (c *call) rollback() (result, error) {
	c.session.tx = nil
	return result{tag: "ROLLBACK"}, nil
}

// setSetting runs SET with "name = value" or "name to value", optionally after "session" or
// "local".
func (c *call) setSetting(rest string) (result, error) {
	words := strings.Fields(strings.TrimPrefix(strings.TrimPrefix(rest, "session "), "local "))
	if len(words) >= 3 && (words[1] == "=" || words[1] == "to") {
		value := strings.Join(words[2:], " ")
		if value == "?" && len(c.args) > 0 {
			value = c.args[0]
		}
		c.session.settings[words[0]] = strings.ToLower(value)
	}
	return result{tag: "SET"}, nil
}

func (c *call) showSetting(name string) (result, error) {
	return selectResult([]*string{textValue(c.session.settings[name])}), nil
}

// resetSession runs RESET, DISCARD, DEALLOCATE, UNLISTEN and CLOSE, with which connection
// pools clear settings and prepared statements between two uses of a connection.
func (c *call) resetSession(verb, rest string) (result, error) {
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
