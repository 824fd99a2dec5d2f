package gate

import (
	"bytes"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/core/model"
	"pomelofork/io/wire"
)

// Names of ParameterStatus messages. Backend servers report parameterPoint, the log point
// of a batch, and parameterReadOnly, the mode of the connection. Neither is passed on to
// callers. The gateway itself sends parameterServedBy.
const (
	parameterPoint    = "group.point"
	parameterServedBy = "pomelofork.served_by"
	parameterReadOnly = "default_transaction_read_only"
)

// SQLSTATEs by which a server rejects a write: because the transaction or the server is
// read-only, or because the server has promised a newer term than its own.
const (
	sqlstateReadOnly = "25006"
	sqlstateFenced   = "57P04"
)

// answerBuffer holds an answer back until it is certain, and records what the answer says
// about the transaction.
type answerBuffer struct {
	sink wire.Sink
	// passThrough makes deliver send messages to the sink at once.
	passThrough bool
	// confirm is called before rows are sent early because there are too many to buffer.
	// It returns nil if the server is confirmed as primary.
	confirm func() error

	// buffer holds the encoded messages that were not sent to the sink yet.
	buffer []byte
	// forwarded says that at least one message was sent to the sink.
	forwarded bool
	// completed says that at least one command is complete.
	completed bool
	// pendingRows says that rows have arrived since the last completed command.
	pendingRows bool
	// readRows says that a completed command returned rows and was no write.
	readRows bool
	// committed, beganTransaction and alteredConn say that a completed command committed
	// a transaction, began one, or may have changed the state of the connection.
	committed        bool
	beganTransaction bool
	alteredConn      bool
	// errorCode is the SQLSTATE of the first error that left the connection open, and
	// fatalCode that of the last one that ended it. They are empty if there was none.
	errorCode string
	fatalCode string
	// txStatus is the status of the last ReadyForQuery.
	txStatus byte
	// point is the last log point that the server reported for the batch, or zero.
	point model.Point
}

// add records what a message says, and buffers or sends it if the caller gets it.
func (b *answerBuffer) add(m pgproto3.BackendMessage) error {
	switch m := m.(type) {
	case *pgproto3.ParameterStatus:
		return b.addParameter(m)
	case *pgproto3.ReadyForQuery:
		b.txStatus = m.TxStatus
		return nil
	case *pgproto3.CommandComplete:
		b.recordCommand(string(m.CommandTag))
	case *pgproto3.DataRow:
		b.pendingRows = true
	case *pgproto3.ErrorResponse:
		if m.Severity == "FATAL" || m.Severity == "PANIC" {
			b.fatalCode = m.Code
			return nil
		}
		if b.errorCode == "" {
			b.errorCode = m.Code
		}
	}
	return b.deliver(m)
}

// deliver sends a message to the sink at once or buffers it.
func (b *answerBuffer) deliver(m pgproto3.BackendMessage) error {
	if b.passThrough {
		return b.send(m)
	}
	return b.store(m)
}

// addParameter records the log point, and delivers the parameters that callers get.
func (b *answerBuffer) addParameter(m *pgproto3.ParameterStatus) error {
	switch m.Name {
	case parameterPoint:
		point, err := model.ParsePoint(m.Value)
		if err != nil {
			return fmt.Errorf("%s: %w", parameterPoint, err)
		}
		b.point = point
		return nil
	case parameterReadOnly:
		return nil
	}
	return b.deliver(m)
}

// recordCommand records what a completed command did, by its command tag.
func (b *answerBuffer) recordCommand(tag string) {
	b.completed = true
	b.committed = b.committed || commitsTransaction(tag)
	b.beganTransaction = b.beganTransaction || beginsTransaction(tag)
	b.alteredConn = b.alteredConn || altersConn(tag)
	b.readRows = b.readRows || (b.pendingRows && !writesRows(tag))
	b.pendingRows = false
}

// send passes a message to the sink.
func (b *answerBuffer) send(m pgproto3.BackendMessage) error {
	b.forwarded = true
	return b.sink.Message(m)
}

// store buffers a message. If the buffer exceeds earlyReleaseBytes before any command is
// complete, it is sent early, as soon as the server is confirmed as primary. Afterwards the
// buffer may report a completed write, which must not be sent before it is certain; then an
// answer that exceeds maxBufferBytes fails.
func (b *answerBuffer) store(m pgproto3.BackendMessage) error {
	buffer, err := m.Encode(b.buffer)
	if err != nil {
		return fmt.Errorf("buffer %T: %w", m, err)
	}
	b.buffer = buffer
	if len(b.buffer) <= earlyReleaseBytes {
		return nil
	}
	if b.completed {
		if len(b.buffer) > maxBufferBytes {
			return errTooLarge
		}
		return nil
	}
	if err := b.confirm(); err != nil {
		return err
	}
	return b.flush()
}

// flush sends the buffered messages to the sink.
func (b *answerBuffer) flush() error {
	if len(b.buffer) == 0 {
		return nil
	}
	source := bytes.NewReader(b.buffer)
	reader := pgproto3.NewFrontend(source, nil)
	b.buffer = b.buffer[:0]
	for source.Len()+reader.ReadBufferLen() > 0 {
		m, err := reader.Receive()
		if err != nil {
			return fmt.Errorf("decode a buffered answer: %w", err)
		}
		if err := b.send(m); err != nil {
			return err
		}
	}
	return nil
}

// reset clears the buffer and everything recorded, for an answer of which nothing was sent.
func (b *answerBuffer) reset() {
	*b = answerBuffer{sink: b.sink, passThrough: b.passThrough, confirm: b.confirm}
}
