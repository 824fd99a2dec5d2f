package pgsim

import (
	"strconv"
	"time"

	"pomelofork/core/model"
)

// statusColumns are the columns of group.status.
var statusColumns = []string{
	"server", "role", "promised", "log_term", "log_index",
	"applied_term", "applied_index", "primary_heard_ms", "leaving",
}

// status is one row of group.status but for the time since the primary was heard.
type status struct {
	primary, leaving bool
	promised         model.Term
	log, applied     model.Point
}

// status returns what the server says of itself. The caller holds the lock.
func (s *server) status() status {
	return status{
		primary: s.primary, leaving: s.leaving, promised: s.promised,
		log: s.point(len(s.log)), applied: s.point(s.applied),
	}
}

// row returns the status as text.
func (s *server) row(now time.Time) []*string {
	have := s.status()
	role, heard := "replica", now.Sub(s.heard)
	if have.primary {
		role, heard = "primary", 0
	}
	return []*string{
		text(string(s.id)), text(role), number(have.promised),
		number(have.log.Term()), number(have.log.Pos()),
		number(have.applied.Term()), number(have.applied.Pos()),
		number(heard.Milliseconds()), text(strconv.FormatBool(have.leaving)),
	}
}

// number returns a column value.
func number[N ~uint64 | ~int64](n N) *string { return text(strconv.FormatInt(int64(n), 10)) }

// tell answers the status row and notes what this connection was told. The caller
// holds the lock.
func (c *call) tell() result {
	s := c.session
	s.told = s.server.status()
	return rows(s.server.row(time.Now()))
}

func (c *call) showStatus() (res result, err error) {
	err = c.session.server.locked(c.ctx, func() error {
		res = c.tell()
		return nil
	})
	return res, err
}

// awaitStatus answers at once when there is news, and later at the latest after the
// given time.
func (c *call) awaitStatus() (res result, err error) {
	after, err := model.ParsePoint(c.args[0])
	if err != nil {
		return result{}, badParameter
	}
	wait, err := strconv.Atoi(c.args[1])
	if err != nil {
		return result{}, badParameter
	}
	late := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer late.Stop()
	server, due := c.session.server, false
	for {
		var changed chan struct{}
		if err := server.locked(c.ctx, func() error {
			have := server.status()
			if due || after.Less(have.log) || have != c.session.told {
				res = c.tell()
			} else {
				changed = server.changed
			}
			return nil
		}); err != nil || changed == nil {
			return res, err
		}
		select {
		case <-changed:
		case <-late.C:
			due = true
		case <-c.ctx.Done():
		}
	}
}

func (c *call) fence() (result, error) {
	return c.withTerm(func(term model.Term) error { return c.session.server.fence(term) })
}

func (c *call) promote() (result, error) {
	return c.withTerm(func(term model.Term) error { return c.session.server.promote(term, time.Now()) })
}

// withTerm runs f under the lock with the term that the statement names.
func (c *call) withTerm(f func(model.Term) error) (res result, err error) {
	term, err := strconv.ParseUint(c.args[0], 10, 64)
	if err != nil {
		return result{}, badParameter
	}
	err = c.session.server.locked(c.ctx, func() error {
		if err := f(model.Term(term)); err != nil {
			return err
		}
		res = c.tell()
		return nil
	})
	return res, err
}
