package match

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Queue holds the entries whose answers are outstanding on one connection, in the order
// in which their messages were sent. It must be used by one goroutine only. Its zero value
// is an empty queue.
type Queue struct {
	entries []Entry
	// failed says that the server skips messages after an error.
	failed bool
}

// Add appends the entry of a message. Call it before the message is sent or withheld.
func (q *Queue) Add(e Entry) { q.entries = append(q.entries, e) }

// Len returns the number of entries whose answers are outstanding.
func (q *Queue) Len() int { return len(q.entries) }

// Feed processes the next message of the server and returns what follows from it. An
// error means that the server violated the protocol and the connection must be closed.
func (q *Queue) Feed(m pgproto3.BackendMessage) (Step, error) {
	if isAsynchronous(m) {
		return Step{Show: []pgproto3.BackendMessage{m}}, nil
	}
	var step Step
	q.flushWithheld(&step)
	if len(q.entries) == 0 {
		return step, fmt.Errorf("script: %T without a message that asked for it", m)
	}
	if failure, ok := m.(*pgproto3.ErrorResponse); ok {
		q.fail(failure, &step)
		return step, nil
	}
	return step, q.answer(m, &step)
}

// AnswerWithheld returns the answers of the withheld entries at the front of the queue.
// Call it when an answer ended without ReadyForQuery. Otherwise it isn't needed, because
// Feed answers them ahead of the next message of the server.
func (q *Queue) AnswerWithheld() Step {
	var step Step
	q.flushWithheld(&step)
	return step
}

// flushWithheld removes the withheld entries at the front and adds their answers to step.
// While the server skips messages after an error, they get no answer, as if the server had
// skipped them too.
func (q *Queue) flushWithheld(step *Step) {
	for len(q.entries) > 0 && !q.entries[0].forward && !q.failed {
		entry := q.pop()
		step.Done = append(step.Done, entry)
		if entry.show {
			step.Show = append(step.Show, entry.syntheticAnswer())
		}
	}
}

// fail processes an ErrorResponse. The server then skips messages up to one whose kind ends
// the skipping, so the entries ahead of that one are removed. The entry of a failed query
// stays, since its ReadyForQuery is still to come.
func (q *Queue) fail(failure *pgproto3.ErrorResponse, step *Step) {
	front := q.entries[0]
	if front.kind == KindQuery && !front.show {
		step.Failed = failure
	} else {
		step.Show = append(step.Show, failure)
	}
	q.failed = true
	for len(q.entries) > 0 && !q.entries[0].kind.endsSkipping() {
		q.pop()
	}
}

// answer matches a message that is neither an error nor asynchronous to the entry at the
// front, and removes the entry if the message ends its answer.
func (q *Queue) answer(m pgproto3.BackendMessage, step *Step) error {
	front := q.entries[0]
	position, known := positionOf(front.kind, m)
	if !known {
		return fmt.Errorf("script: %T is no answer to a message of kind %d", m, front.kind)
	}
	if front.show {
		step.Show = append(step.Show, m)
	}
	if position == positionInside {
		return nil
	}
	q.pop()
	if !q.failed {
		step.Done = append(step.Done, front)
	}
	if front.kind.endsSkipping() {
		q.failed = false
	}
	return nil
}

func (q *Queue) pop() Entry {
	entry := q.entries[0]
	q.entries = q.entries[1:]
	return entry
}
