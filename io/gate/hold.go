package gate

import (
	"bytes"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/core/model"
	"pomelofork/io/wire"
)

// The parameters that a backend server reports and callers don't see.
const (
	parameterPoint    = "group.point"
	parameterServedBy = "pomelofork.served_by"
	parameterReadOnly = "default_transaction_read_only"
)

// The SQLSTATEs by which a server says that it takes no writes.
const (
	stateReadOnly   = "25006"
	stateNotPrimary = "57P04"
)

// hold keeps an answer back until it is certain, and notes what it says.
type hold struct {
	sink wire.Sink
	// through passes messages on at once.
	through bool
	// certain is asked before rows are passed on early, when there are too many.
	certain func() error

	buffer    []byte
	shown     bool
	completed bool
	rows      bool
	reads     bool
	committed bool
	began     bool
	altered   bool
	failure   string
	fatal     string
	txStatus  byte
	point     model.Point
}

// take notes and keeps one message.
func (h *hold) take(m pgproto3.BackendMessage) error {
	switch m := m.(type) {
	case *pgproto3.ParameterStatus:
		return h.parameter(m)
	case *pgproto3.ReadyForQuery:
		h.txStatus = m.TxStatus
		return nil
	case *pgproto3.CommandComplete:
		h.command(string(m.CommandTag))
	case *pgproto3.DataRow:
		h.rows = true
	case *pgproto3.ErrorResponse:
		if m.Severity == "FATAL" || m.Severity == "PANIC" {
			h.fatal = m.Code
			return nil
		}
		if h.failure == "" {
			h.failure = m.Code
		}
	}
	return h.forward(m)
}

// forward passes a message on, now or later.
func (h *hold) forward(m pgproto3.BackendMessage) error {
	if h.through {
		return h.pass(m)
	}
	return h.keep(m)
}

func (h *hold) parameter(m *pgproto3.ParameterStatus) error {
	switch m.Name {
	case parameterPoint:
		point, err := model.ParsePoint(m.Value)
		if err != nil {
			return fmt.Errorf("%s: %w", parameterPoint, err)
		}
		h.point = point
		return nil
	case parameterReadOnly:
		return nil
	}
	return h.forward(m)
}

// command notes what a completed command did.
func (h *hold) command(tag string) {
	h.completed = true
	h.committed = h.committed || commits(tag)
	h.began = h.began || begins(tag)
	h.altered = h.altered || alters(tag)
	h.reads = h.reads || (h.rows && !changes(tag))
	h.rows = false
}

func (h *hold) pass(m pgproto3.BackendMessage) error {
	h.shown = true
	return h.sink.Message(m)
}

// keep buffers a message. Rows before the first completed command may be passed
// on early when they are too many to keep.
func (h *hold) keep(m pgproto3.BackendMessage) error {
	buffer, err := m.Encode(h.buffer)
	if err != nil {
		return fmt.Errorf("hold %T: %w", m, err)
	}
	h.buffer = buffer
	if len(h.buffer) <= holdBytes {
		return nil
	}
	if h.completed {
		if len(h.buffer) > endBytes {
			return errTooLarge
		}
		return nil
	}
	if err := h.certain(); err != nil {
		return err
	}
	return h.release()
}

// release passes on what was kept.
func (h *hold) release() error {
	if len(h.buffer) == 0 {
		return nil
	}
	source := bytes.NewReader(h.buffer)
	reader := pgproto3.NewFrontend(source, nil)
	h.buffer = h.buffer[:0]
	for source.Len()+reader.ReadBufferLen() > 0 {
		m, err := reader.Receive()
		if err != nil {
			return fmt.Errorf("replay of a held answer: %w", err)
		}
		if err := h.pass(m); err != nil {
			return err
		}
	}
	return nil
}

// discard forgets an answer of which nothing was passed on.
func (h *hold) discard() {
	*h = hold{sink: h.sink, through: h.through, certain: h.certain}
}
