package group

import (
	"maps"
	"strings"

	"pomelofork/core/model"
	"pomelofork/core/stmt"
)

// Execution is the run of a caller's read or write, prepared or not.
type Execution struct {
	// Account is the client account of the connection.
	Account model.AccountID
	// Settings are the session values of the connection. Nil means none.
	Settings map[string]string
	// Prepared is the statement that the name stood for at the server. Without a name, its shape is empty.
	Prepared stmt.Prepared
	// Arguments are the item and the data.
	Arguments string
}

// Equal reports whether both are runs of the same statement with the same session values and account.
func (e Execution) Equal(other Execution) bool {
	return e.Account == other.Account && maps.Equal(e.Settings, other.Settings) && e.Prepared == other.Prepared && e.Arguments == other.Arguments
}

// Execution returns the statement that a request ran last, or false if it ran none.
func (g *Group) Execution(id string) (Execution, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	runs := g.executions[id]
	if len(runs) == 0 {
		return Execution{}, false
	}
	return runs[len(runs)-1], true
}

// Executions returns the statements that were run, by the identifier of the request. A request may have run
// several times.
func (g *Group) Executions() map[string][]Execution {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.executions)
}

// recordExecution records that a request runs a statement. The caller holds the lock.
func (s *Session) recordExecution(id string, prepared stmt.Prepared, arguments string) {
	g := s.server.group
	e := Execution{Account: s.account, Prepared: prepared, Arguments: arguments}
	if len(s.settings) > 0 {
		e.Settings = maps.Clone(s.settings)
	}
	g.runCounts[id]++
	g.executions[id] = append(g.executions[id], e)
}

// check records a command that holds what can't be one field of a message, and a prepared name that gets
// another meaning without a reset in between. The caller holds the lock.
func (s *Session) check(c stmt.Command) {
	g := s.server.group
	for field, text := range map[string]string{"identifier": c.ID, "text": c.Text, "name": c.Name, "content": c.Rest} {
		if strings.Contains(text, "\n") {
			g.addViolation("%s %.200q of a command has a line end", field, text)
		}
	}
	named := c.Op == stmt.OpSet || c.Op == stmt.OpPrepare
	if strings.Contains(c.Name, " ") || strings.Contains(c.ID, " ") || (named && (c.Name == "" || c.Rest == "")) {
		g.addViolation("a field of a command is empty or has a blank: identifier %.200q, name %.200q, content %.200q", c.ID, c.Name, c.Rest)
	}
	if c.Op == stmt.OpPass && c.Text != "ROLLBACK" && (c.ID == "" || c.ID == "-") {
		g.addViolation("a caller's statement %.200q has the identifier %q of the proxy's own commands", c.Text, c.ID)
	}
	if held, ok := s.preparedStatements[c.Name]; ok && c.Op == stmt.OpPrepare && held != (stmt.Prepared{Shape: c.Rest, Writes: c.Writes}) {
		g.addViolation("prepared name %.200q stands for %.200q and gets the meaning %.200q", c.Name, held.Shape, c.Rest)
	}
}
