package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// step is one message of a translated batch: either a message for the gateway or an answer
// that the entry supplies itself.
type step struct {
	// message is sent to the gateway. It is nil if the entry answers itself.
	message pgproto3.FrontendMessage
	// hidden says that the answer must not be passed on to the caller.
	hidden bool
	// answer is the answer that the entry supplies, or nil.
	answer pgproto3.BackendMessage
	// prepares says that message is a Parse of the caller. name is then the caller's name
	// of the statement.
	prepares bool
	name     string
}

// translation is the state of translate for one batch.
type translation struct {
	statements *preparedStatements
	steps      []step
	// parsed holds the shared names of the statements whose Parse is among the steps.
	parsed      map[string]bool
	errResponse *pgproto3.ErrorResponse
}

// translate replaces the names of prepared statements by their shared names and inserts the
// Parse of each statement ahead of its first use. It returns an error message for the
// caller if the batch uses a statement that doesn't exist, prepares one whose name is in
// use, or prepares too many. It stores and removes the statements that the batch prepares
// and closes.
//
// For example Bind("s1"), Execute, Sync becomes Parse("pf_..."), Bind("pf_..."),
// Execute, Sync, and the answer to that Parse is hidden.
func translate(statements *preparedStatements, messages []pgproto3.FrontendMessage) ([]step, *pgproto3.ErrorResponse) {
	t := translation{statements: statements, parsed: map[string]bool{}}
	for _, m := range messages {
		t.addMessage(m)
		if t.errResponse != nil {
			return nil, t.errResponse
		}
	}
	return t.steps, nil
}

// addMessage translates one message of the caller.
func (t *translation) addMessage(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Parse:
		t.parse(m)
	case *pgproto3.Bind:
		c := *m
		c.PreparedStatement = t.useStatement(m.PreparedStatement)
		t.addForwarded(&c)
	case *pgproto3.Describe:
		c := *m
		if m.ObjectType == 'S' {
			c.Name = t.useStatement(m.Name)
		}
		t.addForwarded(&c)
	case *pgproto3.Close:
		t.close(m)
	default:
		t.addForwarded(m)
	}
}

func (t *translation) addForwarded(m pgproto3.FrontendMessage) {
	t.steps = append(t.steps, step{message: m})
}

// parse stores the statement and adds its Parse under the shared name. As in PostgreSQL,
// a name can't be prepared again until its statement is closed, except for the unnamed one.
func (t *translation) parse(m *pgproto3.Parse) {
	if _, taken := t.statements.get(m.Name); taken && m.Name != "" {
		t.errResponse = newErrorResponse("42P05", "prepared statement %q already exists", m.Name)
		return
	}
	if t.errResponse = t.statements.put(m); t.errResponse != nil {
		return
	}
	t.addParse(m, false)
	last := &t.steps[len(t.steps)-1]
	last.prepares, last.name = true, m.Name
}

// addParse adds the Parse of a stored statement under its shared name.
func (t *translation) addParse(m *pgproto3.Parse, hidden bool) {
	c := *m
	c.Name = t.statements.shared(m.Name)
	t.parsed[c.Name] = true
	t.steps = append(t.steps, step{message: &c, hidden: hidden})
}

// useStatement returns the shared name of a statement and adds its Parse, with a hidden
// answer, if the batch doesn't have it yet.
func (t *translation) useStatement(name string) string {
	m, ok := t.statements.get(name)
	if !ok {
		t.errResponse = newErrorResponse("26000", "prepared statement %q does not exist", name)
		return ""
	}
	shared := t.statements.shared(name)
	if !t.parsed[shared] {
		t.addParse(m, true)
	}
	return shared
}

// close handles a Close. The Close of a statement isn't forwarded, because other sessions
// share the statement on the backend server, so the entry answers it.
func (t *translation) close(m *pgproto3.Close) {
	if m.ObjectType != 'S' {
		t.addForwarded(m)
		return
	}
	t.statements.remove(m.Name)
	t.steps = append(t.steps, step{answer: &pgproto3.CloseComplete{}})
}

// dropFailedStatements removes the statements of the batch that no backend server has
// accepted. As in PostgreSQL, the caller may then prepare their names again.
func dropFailedStatements(statements *preparedStatements, steps []step, accepted map[string]int) {
	for _, st := range steps {
		if !st.prepares {
			continue
		}
		shared := st.message.(*pgproto3.Parse).Name
		if accepted[shared] == 0 {
			statements.remove(st.name)
			continue
		}
		accepted[shared]--
	}
}
