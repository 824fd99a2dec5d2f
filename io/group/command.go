package group

import (
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"pomelofork/core/term"
)

// errQueueFull is the result of a command for a server to which maxQueuedCommands
// commands have not been sent yet.
var errQueueFull = errors.New("command queue of the server is full")

// sqlstateNewerTerm is the SQLSTATE with which a server refuses a command because it
// has promised a newer term.
const sqlstateNewerTerm = "55000"

// command is a statement that changes the state of a server. It may be sent more than
// once.
type command struct {
	text string
	// done receives the server's status after the statement and the time at which the
	// statement was sent, or an error.
	done func(requestedAt time.Time, s term.Status, err error)
}

// fence sends a Fence and passes the result to the machine.
func (w *Watcher) fence(f term.Fence) {
	w.pollers[f.Server].enqueue(command{
		text: fmt.Sprintf("SELECT group_fence(%d)", f.Term),
		done: func(requestedAt time.Time, s term.Status, err error) {
			w.apply(func(now time.Time) []term.Action {
				return w.machine.Fenced(now, f, requestedAt, s, err, promisedNewerTerm(err))
			})
		},
	})
}

// promote sends a Promote and passes the result to the machine.
func (w *Watcher) promote(p term.Promote) {
	w.pollers[p.Server].enqueue(command{
		text: fmt.Sprintf("SELECT group_promote(%d)", p.Term),
		done: func(requestedAt time.Time, s term.Status, err error) {
			w.apply(func(now time.Time) []term.Action {
				return w.machine.Promoted(now, p, requestedAt, s, err, promisedNewerTerm(err))
			})
		},
	})
}

// promisedNewerTerm reports whether a server refused a command because it has promised
// a newer term.
func promisedNewerTerm(err error) bool {
	var e *pgconn.PgError
	return errors.As(err, &e) && e.Code == sqlstateNewerTerm
}
