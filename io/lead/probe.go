package lead

import (
	"context"
	"time"

	"pomelofork/core/plan"
	"pomelofork/core/stmt"
	"pomelofork/io/pooler"
)

// Probe opens a connection to a server, begins and rolls back a transaction, and returns the
// answer to the former. Only a primary answers with success.
func Probe(ctx context.Context, dialer pooler.Dialer, server plan.Server, timeout time.Duration) (stmt.Answer, error) {
	conn, err := dialer.Dial(ctx, server, "")
	if err != nil {
		return stmt.Answer{}, err
	}
	// An error doesn't matter, since the connection is not used again.
	defer func() { _ = conn.Close() }()
	return probe(conn, timeout)
}

// probe begins and rolls back a transaction and returns the answer to the former.
func probe(conn pooler.Conn, timeout time.Duration) (stmt.Answer, error) {
	answers, err := exchange(conn, timeout, stmt.Command{Op: stmt.OpBegin}, stmt.Command{Op: stmt.OpRollback})
	if err != nil {
		return stmt.Answer{}, err
	}
	return answers[0], nil
}

// exchange sends commands and returns their answers, or an error if not all of them arrive
// within the time-out.
func exchange(conn pooler.Conn, timeout time.Duration, commands ...stmt.Command) ([]stmt.Answer, error) {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	if err := conn.Send(commands); err != nil {
		return nil, err
	}
	answers := make([]stmt.Answer, 0, len(commands))
	for range commands {
		answer, err := conn.Receive()
		if err != nil {
			return nil, err
		}
		answers = append(answers, answer)
	}
	return answers, nil
}
