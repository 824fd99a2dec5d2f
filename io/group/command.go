package group

import (
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"pomelofork/core/term"
)

// errBusy says that a server has too many commands waiting.
var errBusy = errors.New("too many commands wait for the server")

// stateNewerTerm is the SQLSTATE of a server that has promised a newer term.
const stateNewerTerm = "55000"

// command is a statement that changes the state of a server.
type command struct {
	text string
	// done gets the server's state after the statement, and when it was sent.
	done func(asked time.Time, s term.Status, err error)
}

// fence carries out a Fence.
func (w *Watcher) fence(f term.Fence) {
	w.pollers[f.Server].order(command{
		text: fmt.Sprintf("SELECT group_fence(%d)", f.Term),
		done: func(asked time.Time, s term.Status, err error) {
			w.step(func(now time.Time) []term.Action {
				return w.machine.Fenced(now, f, asked, s, err, refusedAsOlder(err))
			})
		},
	})
}

// promote carries out a Promote.
func (w *Watcher) promote(p term.Promote) {
	w.pollers[p.Server].order(command{
		text: fmt.Sprintf("SELECT group_promote(%d)", p.Term),
		done: func(asked time.Time, s term.Status, err error) {
			w.step(func(now time.Time) []term.Action {
				return w.machine.Promoted(now, p, asked, s, err, refusedAsOlder(err))
			})
		},
	})
}

// refusedAsOlder says that the server has promised a newer term.
func refusedAsOlder(err error) bool {
	var e *pgconn.PgError
	return errors.As(err, &e) && e.Code == stateNewerTerm
}
