package pgsim

import (
	"strconv"
	"time"

	"pomelofork/core/model"
)

// statusColumns are the columns of SHOW group.status. Their meaning is described in
// docs/PROTOCOLS.md.
var statusColumns = []string{
	"server", "role", "promised", "log_term", "log_index",
	"applied_term", "applied_index", "primary_heard_ms", "leaving",
}

// status is the row of SHOW group.status without the time since the last contact with the
// primary. That time changes constantly, so it must not count as a change of the status.
type status struct {
	primary, leaving bool
	promised         model.Term
	log, applied     model.Point
}

// status returns the current status of the server. The caller holds the lock.
func (s *server) status() status {
	return status{
		primary: s.primary, leaving: s.leaving, promised: s.promised,
		log: s.logPoint(len(s.log)), applied: s.logPoint(s.applied),
	}
}

// statusRow returns the values of statusColumns. The caller holds the lock.
func (s *server) statusRow(now time.Time) []*string {
	current := s.status()
	role, sinceContact := "replica", now.Sub(s.lastPrimaryContact)
	if current.primary {
		role, sinceContact = "primary", 0
	}
	return []*string{
		textValue(string(s.id)), textValue(role), numberValue(current.promised),
		numberValue(current.log.Term()), numberValue(current.log.Pos()),
		numberValue(current.applied.Term()), numberValue(current.applied.Pos()),
		numberValue(sinceContact.Milliseconds()), textValue(strconv.FormatBool(current.leaving)),
	}
}

// numberValue returns a number as a column value.
func numberValue[N ~uint64 | ~int64](n N) *string { return textValue(strconv.FormatInt(int64(n), 10)) }

// answerStatus returns the status row, and remembers the status as the last one that this
// connection was sent. The caller holds the lock.
func (c *call) answerStatus() result {
	s := c.session
	s.lastStatus = s.server.status()
	return selectResult(s.server.statusRow(time.Now()))
}

func (c *call) showStatus() (res result, err error) {
	err = c.session.server.withLock(c.ctx, func() error {
		res = c.answerStatus()
		return nil
	})
	return res, err
}

// awaitStatus runs SELECT group_status. It answers as soon as the log is past the given
// point or the status differs from the last one that the connection was sent, and at the
// latest after the given number of milliseconds.
func (c *call) awaitStatus() (res result, err error) {
	after, err := model.ParsePoint(c.args[0])
	if err != nil {
		return result{}, errBadParameter
	}
	wait, err := strconv.Atoi(c.args[1])
	if err != nil {
		return result{}, errBadParameter
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	server, timedOut := c.session.server, false
	for {
		var changed chan struct{}
		if err := server.withLock(c.ctx, func() error {
			current := server.status()
			if timedOut || after.Less(current.log) || current != c.session.lastStatus {
				res = c.answerStatus()
			} else {
				changed = server.changed
			}
			return nil
		}); err != nil || changed == nil {
			return res, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			timedOut = true
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

// withTerm runs f under the lock with the term in the statement's argument, and answers
// with the status row.
func (c *call) withTerm(f func(model.Term) error) (res result, err error) {
	term, err := strconv.ParseUint(c.args[0], 10, 64)
	if err != nil {
		return result{}, errBadParameter
	}
	err = c.session.server.withLock(c.ctx, func() error {
		if err := f(model.Term(term)); err != nil {
			return err
		}
		res = c.answerStatus()
		return nil
	})
	return res, err
}
