package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// step is one message on its way to the gateway, or one that the entry answers itself.
type step struct {
	// message goes to the gateway, or is nil when the entry answers.
	message pgproto3.FrontendMessage
	// hidden says that the caller must not see the answer.
	hidden bool
	// local is the entry's own answer, or nil.
	local pgproto3.BackendMessage
	// prepares says that the caller prepares the statement of this name.
	prepares bool
	name     string
}

// translation rewrites one batch of the caller for the gateway.
type translation struct {
	statements *prepared
	steps      []step
	sent       map[string]bool
	fault      *pgproto3.ErrorResponse
}

// translate rewrites the names of prepared statements and puts the Parse of each used
// statement ahead of its use. It returns an error message for the caller when the
// batch uses a statement that doesn't exist.
//
// For example Bind("s1"), Execute, Sync becomes Parse("pf_..."), Bind("pf_..."),
// Execute, Sync, and the answer to that Parse is hidden.
func translate(statements *prepared, messages []pgproto3.FrontendMessage) ([]step, *pgproto3.ErrorResponse) {
	t := translation{statements: statements, sent: map[string]bool{}}
	for _, m := range messages {
		t.message(m)
		if t.fault != nil {
			return nil, t.fault
		}
	}
	return t.steps, nil
}

func (t *translation) message(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Parse:
		t.parse(m)
	case *pgproto3.Bind:
		c := *m
		c.PreparedStatement = t.use(m.PreparedStatement)
		t.forward(&c)
	case *pgproto3.Describe:
		c := *m
		if m.ObjectType == 'S' {
			c.Name = t.use(m.Name)
		}
		t.forward(&c)
	case *pgproto3.Close:
		t.close(m)
	default:
		t.forward(m)
	}
}

func (t *translation) forward(m pgproto3.FrontendMessage) {
	t.steps = append(t.steps, step{message: m})
}

// parse remembers the statement and sends it under its global name. As in PostgreSQL,
// a name that is taken is an error until it is closed.
func (t *translation) parse(m *pgproto3.Parse) {
	if _, taken := t.statements.get(m.Name); taken && m.Name != "" {
		t.fault = plainError("42P05", "prepared statement %q already exists", m.Name)
		return
	}
	if !t.statements.keep(m) {
		t.fault = plainError("53400", "more than %d prepared statements in one session", maxPrepared)
		return
	}
	t.send(m, false)
	last := &t.steps[len(t.steps)-1]
	last.prepares, last.name = true, m.Name
}

func (t *translation) send(m *pgproto3.Parse, hidden bool) {
	c := *m
	c.Name = globalName(m)
	t.sent[c.Name] = true
	t.steps = append(t.steps, step{message: &c, hidden: hidden})
}

// use returns the global name of a statement and makes sure that its Parse went ahead.
func (t *translation) use(name string) string {
	m, ok := t.statements.get(name)
	if !ok {
		t.fault = plainError("26000", "prepared statement %q does not exist", name)
		return ""
	}
	global := globalName(m)
	if !t.sent[global] {
		t.send(m, true)
	}
	return global
}

// close answers the Close of a statement here, because other sessions share it.
func (t *translation) close(m *pgproto3.Close) {
	if m.ObjectType != 'S' {
		t.forward(m)
		return
	}
	t.statements.drop(m.Name)
	t.steps = append(t.steps, step{local: &pgproto3.CloseComplete{}})
}

// forgetFailed drops the statements that the batch was to prepare and that no backend
// server has accepted. As in PostgreSQL their names are free again.
func forgetFailed(statements *prepared, steps []step, accepted map[string]int) {
	for _, st := range steps {
		if !st.prepares {
			continue
		}
		global := st.message.(*pgproto3.Parse).Name
		if accepted[global] == 0 {
			statements.drop(st.name)
			continue
		}
		accepted[global]--
	}
}
