package group

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/stmt"
	"pomelofork/io/pooler"
)

// maxRowBytes bounds a row, so that an answer is never longer than a message may be.
const maxRowBytes = 1 << 19

// Session is one connection to a server. It implements pooler.Conn.
type Session struct {
	server             *Server
	account            model.AccountID
	settings           map[string]string
	preparedStatements map[string]stmt.Prepared
	// inTransaction is true while a transaction is open. readWrite is true if OpBegin began
	// it, and failed is true after an error in it. writes are its writes, which no log has
	// yet.
	inTransaction, readWrite, failed bool
	writes                           []Write

	batches   chan []stmt.Command
	answers   chan stmt.Answer
	closed    chan struct{}
	closeOnce sync.Once
	// deadlines passes deadlines from SetDeadline to Receive, which keeps the last one in
	// currentDeadline.
	deadlines       chan time.Time
	currentDeadline time.Time
}

var _ pooler.Conn = (*Session)(nil)

// Send implements pooler.Conn.
func (s *Session) Send(commands []stmt.Command) error {
	select {
	case <-s.closed:
		return io.ErrClosedPipe
	case s.batches <- append([]stmt.Command{}, commands...):
		return nil
	}
}

// Receive implements pooler.Conn.
func (s *Session) Receive() (stmt.Answer, error) {
	for {
		var expired <-chan time.Time
		if !s.currentDeadline.IsZero() {
			expired = time.After(time.Until(s.currentDeadline))
		}
		select {
		case answer := <-s.answers:
			return answer, nil
		case <-s.closed:
			return stmt.Answer{}, io.EOF
		case s.currentDeadline = <-s.deadlines:
		case <-expired:
			return stmt.Answer{}, errors.New("deadline exceeded")
		}
	}
}

// SetDeadline implements pooler.Conn.
func (s *Session) SetDeadline(deadline time.Time) error {
	select {
	case <-s.closed:
		return io.ErrClosedPipe
	case s.deadlines <- deadline:
		return nil
	}
}

// Close implements pooler.Conn.
func (s *Session) Close() error {
	s.server.group.mu.Lock()
	defer s.server.group.mu.Unlock()
	s.endLocked()
	return nil
}

// endLocked closes the session and rolls back its transaction. The caller holds the lock.
func (s *Session) endLocked() {
	s.closeOnce.Do(func() { close(s.closed) })
	delete(s.server.sessions, s)
	s.inTransaction, s.writes = false, nil
}

// Do runs one command at once and returns its answer. It returns false if the session is
// closed or DropAnswers dropped the answer.
func (s *Session) Do(c stmt.Command) (stmt.Answer, bool) { return s.runCommand(c) }

// runCommand runs one command and completes its answer with the state of the transaction
// and the log point. A caller's statement waits for a slot first. It returns false if there
// is no answer.
func (s *Session) runCommand(c stmt.Command) (stmt.Answer, bool) {
	if c.Op == stmt.OpPass {
		select {
		case s.server.slots <- struct{}{}:
		case <-s.closed:
			return stmt.Answer{}, false
		}
		time.Sleep(s.server.group.config.StatementCost)
		defer func() { <-s.server.slots }()
	}
	g := s.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := s.server.sessions[s]; !ok {
		// The session was closed while the command waited.
		return stmt.Answer{}, false
	}
	s.check(c)
	answer := s.execute(time.Now(), c)
	if answer.Code != stmt.CodeDone && s.inTransaction {
		s.failed = true
	}
	switch {
	case s.inTransaction && s.failed:
		answer.State = stmt.StateFailed
	case s.inTransaction:
		answer.State = stmt.StateOpen
	}
	if answer.Point.IsZero() {
		_, answer.Point = s.server.appliedPrefix(time.Now())
	}
	if c.Op == stmt.OpPass && s.server.answersToDrop > 0 {
		s.server.answersToDrop--
		return stmt.Answer{}, false
	}
	return answer, true
}

// execute executes one command. The caller holds the lock.
func (s *Session) execute(now time.Time, c stmt.Command) stmt.Answer {
	_, applied := s.server.appliedPrefix(now)
	switch c.Op {
	case stmt.OpBegin, stmt.OpBeginRead:
		if c.Op == stmt.OpBegin && !s.server.primary {
			return stmt.Refuse(stmt.CodeReadOnly, stmt.StateIdle, "replica")
		}
		if applied.Less(c.After) {
			return stmt.Refuse(stmt.CodeLagging, stmt.StateIdle, "behind")
		}
		s.inTransaction, s.readWrite, s.failed, s.writes = true, c.Op == stmt.OpBegin, false, nil
	case stmt.OpRollback:
		s.inTransaction, s.failed, s.writes = false, false, nil
	case stmt.OpReset:
		clear(s.settings)
		clear(s.preparedStatements)
	case stmt.OpSet:
		s.settings[c.Name] = c.Rest
	case stmt.OpPrepare:
		s.preparedStatements[c.Name] = stmt.Prepared{Shape: c.Rest, Writes: c.Writes}
	case stmt.OpStatus:
		return s.server.statusAnswer()
	case stmt.OpPause:
		if c.Term > s.server.term && !s.server.primary {
			s.server.held = c.Term
		}
		return s.server.statusAnswer()
	case stmt.OpResume:
		s.server.held = 0
		return s.server.statusAnswer()
	case stmt.OpStepDown:
		if c.Term > s.server.term {
			s.server.primary = false
		}
		return s.server.statusAnswer()
	case stmt.OpPass:
		return s.runStatement(now, c, applied)
	}
	return stmt.Answer{}
}

// runStatement runs a caller's statement. The caller holds the lock.
func (s *Session) runStatement(now time.Time, c stmt.Command, applied model.Point) stmt.Answer {
	verb, rest, _ := strings.Cut(c.Text, " ")
	writes := verb == "WRITE"
	var prepared stmt.Prepared
	if c.Name != "" {
		var ok bool
		prepared, ok = s.preparedStatements[c.Name]
		if !ok {
			return stmt.Refuse(stmt.CodeNoStatement, stmt.StateIdle, c.Name)
		}
		writes, rest = prepared.Writes, c.Rest
	}
	switch {
	case s.inTransaction && s.failed && verb != "ROLLBACK":
		return stmt.Refuse(stmt.CodeMalformed, stmt.StateFailed, "transaction failed")
	case verb == "ROLLBACK":
		s.inTransaction, s.failed, s.writes = false, false, nil
		return stmt.Answer{}
	case verb == "COMMIT":
		return s.commit(now)
	case (s.inTransaction && s.readWrite || writes) && !s.server.primary:
		return stmt.Refuse(stmt.CodeReadOnly, stmt.StateIdle, "replica")
	case applied.Less(c.After):
		return stmt.Refuse(stmt.CodeLagging, stmt.StateIdle, "behind")
	}
	prepared.Writes = writes
	s.recordExecution(c.ID, prepared, rest)
	digest := fmt.Sprintf("%s.%s", s.server.registration.ID, c.ID)
	if !writes {
		return stmt.Answer{Rows: []string{s.read(now, rest)}, Digest: digest}
	}
	s.writes = append(s.writes, Write{ID: c.ID, Text: rest})
	if s.inTransaction {
		return stmt.Answer{Digest: digest}
	}
	answer := s.commit(now)
	answer.Digest = digest
	return answer
}

// read returns one row with the last applied value of an item, the settings of the session
// and the account of the connection. The caller holds the lock.
func (s *Session) read(now time.Time, item string) string {
	n, _ := s.server.appliedPrefix(now)
	value := ""
	for _, c := range s.server.commits[:n] {
		for _, w := range c.writes {
			if name, data, _ := strings.Cut(w.Text, " "); name == item {
				value = data
			}
		}
	}
	row := fmt.Sprintf("%s values=%v account=%s", value, s.settings, s.account)
	return row[:min(len(row), maxRowBytes)]
}

// commit ends the transaction and appends its writes as one entry to the log of every
// server that receives log entries. The caller holds the lock.
func (s *Session) commit(time.Time) stmt.Answer {
	writes := s.writes
	s.inTransaction, s.failed, s.writes = false, false, nil
	if len(writes) > 0 && !s.server.primary {
		return stmt.Refuse(stmt.CodeReadOnly, stmt.StateIdle, "replica")
	}
	answer := stmt.Answer{Digest: "commit"}
	if len(writes) == 0 {
		return answer
	}
	g := s.server.group
	pos := model.Position(1)
	if n := len(s.server.commits); n > 0 {
		pos = s.server.commits[n-1].point.Pos() + 1
	}
	added := commit{point: model.NewPoint(s.server.term, pos), at: time.Now(), writes: writes}
	for i := range added.writes {
		added.writes[i].Point = added.point
		for _, earlier := range s.server.commits {
			for _, w := range earlier.writes {
				if w.ID == added.writes[i].ID {
					g.addViolation("write %s took effect twice", w.ID)
				}
			}
		}
	}
	for _, other := range g.servers {
		reached := other == s.server || !other.cutOff && !s.server.cutOff
		if reached && other.receives() {
			other.commits = append(other.commits, added)
		}
	}
	answer.Point = added.point
	return answer
}
