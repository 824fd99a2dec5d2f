package pgsim

import (
	"context"
	"strconv"
	"strings"
	"time"
)

// result is the result of a statement: its rows, where nil is NULL, and its command tag.
type result struct {
	rows [][]*string
	tag  string
}

// call is one execution of a statement in a session. The arguments are the values of the
// statement in order, with its parameters inserted.
type call struct {
	session *session
	ctx     context.Context
	args    []string
}

// supportedStatement is one kind of statement that the emulator supports.
type supportedStatement struct {
	columns []string
	// needsSlot says that the statement occupies a slot for Config.StatementCost before it
	// runs.
	needsSlot bool
	// run executes the statement. If needsSlot is set, it is called with the group's lock
	// held.
	run func(c *call) (result, error)
}

// textValue returns a text as a column value.
func textValue(s string) *string { return &s }

// countValue returns a count as a column value.
func countValue(n int) *string { return textValue(strconv.Itoa(n)) }

// findStatement returns the supported statement with the given normalized text. It fails if
// the emulator doesn't support the statement.
func findStatement(normalized string) (supportedStatement, error) {
	if fixed, ok := fixedStatements[normalized]; ok {
		return fixed, nil
	}
	first, rest, _ := strings.Cut(normalized, " ")
	switch first {
	case "begin", "start":
		return supportedStatement{run: func(c *call) (result, error) { return c.begin(strings.Contains(rest, "read only")) }}, nil
	case "commit", "end":
		return supportedStatement{run: (*call).commit}, nil
	case "rollback", "abort":
		return supportedStatement{run: (*call).rollback}, nil
	case "set":
		return supportedStatement{run: func(c *call) (result, error) { return c.setSetting(rest) }}, nil
	case "show":
		return supportedStatement{columns: []string{rest}, run: func(c *call) (result, error) { return c.showSetting(rest) }}, nil
	case "reset", "discard", "deallocate", "unlisten", "close":
		return supportedStatement{run: func(c *call) (result, error) { return c.resetSession(first, rest) }}, nil
	}
	return supportedStatement{}, errUnknownStatement
}

// fixedStatements are the supported statements that are recognized by their whole
// normalized text. findStatement recognizes the others by their first word.
var fixedStatements = map[string]supportedStatement{
	"select value , version from items where key = ?": {columns: []string{"value", "version"}, needsSlot: true, run: (*call).readItem},
	"insert into items ( key , value ) values ( ? , ? )": {needsSlot: true, run: func(c *call) (result, error) {
		return c.bufferWrite("INSERT 0 1", itemWrite{key: c.args[0], value: c.args[1]})
	}},
	"select count from ledger where id = ?": {columns: []string{"count"}, needsSlot: true, run: (*call).readCount},
	"insert into ledger ( id ) values ( ? )": {needsSlot: true, run: func(c *call) (result, error) {
		return c.bufferWrite("INSERT 0 1", ledgerWrite{id: c.args[0]})
	}},
	"select id from ledger": {columns: []string{"id"}, needsSlot: true, run: (*call).readLedger},
	"insert into request_outcomes ( account , request_id , fingerprint ) values ( ? , ? , ? )":              {needsSlot: true, run: (*call).insertOutcome},
	"insert into request_outcomes ( account , request_id , fingerprint , answer ) values ( ? , ? , ? , ? )": {needsSlot: true, run: (*call).insertOutcome},
	"update request_outcomes set answer = ? where account = ? and request_id = ? and fingerprint = ?":       {needsSlot: true, run: (*call).updateOutcome},
	"select fingerprint , answer from request_outcomes where account = ? and request_id = ?":                {columns: []string{"fingerprint", "answer"}, needsSlot: true, run: (*call).readOutcome},
	"select ?":                      {columns: []string{"?column?"}, needsSlot: true, run: (*call).selectValue},
	"select pg_sleep ( ? )":         {columns: []string{"pg_sleep"}, run: (*call).sleep},
	"show group.status":             {columns: statusColumns, run: (*call).showStatus},
	"select group_status ( ? , ? )": {columns: statusColumns, run: (*call).awaitStatus},
	"select group_fence ( ? )":      {columns: statusColumns, run: (*call).fence},
	"select group_promote ( ? )":    {columns: statusColumns, run: (*call).promote},
}

// execute runs a statement in the session with the given arguments. In a failed
// transaction, it runs only statements that end the transaction.
func (s *session) execute(p parsedStatement, args []string) (result, error) {
	supported, err := findStatement(p.normalized)
	if err != nil {
		return result{}, err
	}
	first, _, _ := strings.Cut(p.normalized, " ")
	if s.tx != nil && s.tx.failed && first != "rollback" && first != "commit" && first != "end" && first != "abort" {
		return result{}, errTxAborted
	}
	ctx, done := s.statementContext()
	defer done()
	c := &call{session: s, ctx: ctx, args: args}
	if !supported.needsSlot {
		return supported.run(c)
	}
	return c.withSlot(s.server.group.conf.StatementCost, func() (res result, err error) {
		err = s.server.withLock(ctx, func() error {
			res, err = supported.run(c)
			return err
		})
		return res, err
	})
}

// withSlot waits for a slot, and occupies it for the given cost and then while f runs.
func (c *call) withSlot(cost time.Duration, f func() (result, error)) (result, error) {
	slots := c.session.server.slots
	if err := slots.acquire(c.ctx); err != nil {
		return result{}, err
	}
	defer slots.release()
	if err := sleepContext(c.ctx, cost); err != nil {
		return result{}, err
	}
	return f()
}
