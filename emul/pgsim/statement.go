package pgsim

import (
	"context"
	"strconv"
	"strings"
	"time"
)

// result is what a statement answers.
type result struct {
	rows [][]*string
	tag  string
}

// call is one run of a statement.
type call struct {
	session *session
	ctx     context.Context
	args    []string
}

// statement is one kind of statement that the stand-in knows.
type statement struct {
	columns []string
	// slot says that it needs a slot and takes the statement cost.
	slot bool
	// run does the work. Statements with a slot run under the group's lock.
	run func(c *call) (result, error)
}

// text returns a column value.
func text(s string) *string { return &s }

// count returns a column value.
func count(n int) *string { return text(strconv.Itoa(n)) }

// find returns the statement with the given shape.
func find(shape string) (statement, error) {
	if known, ok := statements[shape]; ok {
		return known, nil
	}
	first, rest, _ := strings.Cut(shape, " ")
	switch first {
	case "begin", "start":
		return statement{run: func(c *call) (result, error) { return c.begin(strings.Contains(rest, "read only")) }}, nil
	case "commit", "end":
		return statement{run: (*call).commit}, nil
	case "rollback", "abort":
		return statement{run: (*call).rollback}, nil
	case "set":
		return statement{run: func(c *call) (result, error) { return c.set(rest) }}, nil
	case "show":
		return statement{columns: []string{rest}, run: func(c *call) (result, error) { return c.show(rest) }}, nil
	case "reset", "discard", "deallocate", "unlisten", "close":
		return statement{run: func(c *call) (result, error) { return c.reset(first, rest) }}, nil
	}
	return statement{}, unknown
}

// statements are the statements with a fixed shape.
var statements = map[string]statement{
	"select value , version from items where key = ?": {columns: []string{"value", "version"}, slot: true, run: (*call).readItem},
	"insert into items ( key , value ) values ( ? , ? )": {slot: true, run: func(c *call) (result, error) {
		return c.write("INSERT 0 1", itemWrite{key: c.args[0], value: c.args[1]})
	}},
	"select count from ledger where id = ?": {columns: []string{"count"}, slot: true, run: (*call).readCount},
	"insert into ledger ( id ) values ( ? )": {slot: true, run: func(c *call) (result, error) {
		return c.write("INSERT 0 1", ledgerWrite{id: c.args[0]})
	}},
	"select id from ledger": {columns: []string{"id"}, slot: true, run: (*call).readLedger},
	"insert into request_outcomes ( account , request_id , fingerprint ) values ( ? , ? , ? )":        {slot: true, run: (*call).record},
	"update request_outcomes set answer = ? where account = ? and request_id = ? and fingerprint = ?": {slot: true, run: (*call).answer},
	"select fingerprint , answer from request_outcomes where account = ? and request_id = ?":          {columns: []string{"fingerprint", "answer"}, slot: true, run: (*call).readOutcome},
	"select ?":                      {columns: []string{"?column?"}, slot: true, run: (*call).selectValue},
	"select pg_sleep ( ? )":         {columns: []string{"pg_sleep"}, run: (*call).sleep},
	"show group.status":             {columns: statusColumns, run: (*call).showStatus},
	"select group_status ( ? , ? )": {columns: statusColumns, run: (*call).awaitStatus},
	"select group_fence ( ? )":      {columns: statusColumns, run: (*call).fence},
	"select group_promote ( ? )":    {columns: statusColumns, run: (*call).promote},
}

// execute runs a statement in the session.
func (s *session) execute(p parsed, args []string) (result, error) {
	known, err := find(p.shape)
	if err != nil {
		return result{}, err
	}
	first, _, _ := strings.Cut(p.shape, " ")
	if s.tx != nil && s.tx.failed && first != "rollback" && first != "commit" && first != "end" && first != "abort" {
		return result{}, txAborted
	}
	ctx, done := s.statementContext()
	defer done()
	c := &call{session: s, ctx: ctx, args: args}
	if !known.slot {
		return known.run(c)
	}
	return c.inSlot(s.server.group.conf.StatementCost, func() (res result, err error) {
		err = s.server.locked(ctx, func() error {
			res, err = known.run(c)
			return err
		})
		return res, err
	})
}

// inSlot takes a slot for cost and for f.
func (c *call) inSlot(cost time.Duration, f func() (result, error)) (result, error) {
	slots := c.session.server.slots
	if err := slots.enter(c.ctx); err != nil {
		return result{}, err
	}
	defer slots.leave()
	if err := sleep(c.ctx, cost); err != nil {
		return result{}, err
	}
	return f()
}
