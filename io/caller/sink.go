package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/io/match"
)

// flushBytes is the amount of an answer that is buffered before it is sent to the caller.
const flushBytes = 32 << 10

// sink passes the answer to a batch on to the caller. It leaves out the answers to messages
// that the entry added.
type sink struct {
	backend *pgproto3.Backend
	queue   *match.Queue
	// shown is the number of messages that were passed on.
	shown int
	// pending estimates the bytes that are buffered and not yet sent.
	pending int
	// accepted counts the Parse messages of the caller that succeeded, by the shared names
	// of their statements.
	accepted map[string]int
	// servedBy is the backend server that ran the batch and its role, for example
	// "stock-1/replica". It is empty until the gateway has reported it.
	servedBy string
}

// newSink returns a sink for the answer to the batch that was translated to steps.
func newSink(backend *pgproto3.Backend, steps []step) *sink {
	queue := &match.Queue{}
	for _, st := range steps {
		if st.answer != nil {
			queue.Add(match.NewEntry(match.EntryConfig{Kind: match.KindClose, Show: true}))
			continue
		}
		entry, answered := match.EntryOf(st.message)
		if !answered {
			continue
		}
		if st.hidden {
			entry = entry.Hidden()
		}
		queue.Add(entry)
	}
	return &sink{backend: backend, queue: queue, accepted: map[string]int{}}
}

// Message implements wire.Sink.
func (k *sink) Message(m pgproto3.BackendMessage) error {
	if status, ok := m.(*pgproto3.ParameterStatus); ok {
		if status.Name == parameterServedBy {
			k.servedBy = status.Value
		}
		k.backend.Send(m)
		return nil
	}
	step, err := k.queue.Feed(m)
	if err != nil {
		return err
	}
	return k.show(step)
}

// finish sends the answers of the entry that follow the last answer of the gateway.
func (k *sink) finish() error { return k.show(k.queue.AnswerWithheld()) }

// show passes on the messages of step and flushes them once flushBytes are buffered.
func (k *sink) show(step match.Step) error {
	for _, entry := range step.Done {
		if entry.Kind() == match.KindParse && entry.Show() {
			k.accepted[entry.Name()]++
		}
	}
	for _, m := range step.Show {
		k.shown++
		k.backend.Send(m)
		k.pending += messageSize(m)
	}
	if k.pending < flushBytes {
		return nil
	}
	k.pending = 0
	return k.backend.Flush()
}

// messageSize estimates the bytes of a message. Only rows are measured, since other messages
// are small.
func messageSize(m pgproto3.BackendMessage) int {
	row, ok := m.(*pgproto3.DataRow)
	if !ok {
		return 64
	}
	n := 8
	for _, v := range row.Values {
		n += 4 + len(v)
	}
	return n
}

// allAnswered reports whether all messages of the batch were answered. The Sync or Query at
// its end doesn't count, because sendReady answers it.
func (k *sink) allAnswered() bool { return k.queue.Len() <= 1 }
