package link

import (
	"fmt"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
)

// responseWriter buffers the messages of an answer and sends them in large pieces. It
// implements wire.Sink.
type responseWriter struct {
	conn   net.Conn
	buffer []byte
}

// Message implements wire.Sink.
func (w *responseWriter) Message(m pgproto3.BackendMessage) error {
	buffer, err := m.Encode(w.buffer)
	if err != nil {
		return fmt.Errorf("encode a message of an answer: %w", err)
	}
	w.buffer = buffer
	if len(w.buffer) < flushThresholdBytes {
		return nil
	}
	return w.flush()
}

// flush sends the buffered messages.
func (w *responseWriter) flush() error {
	if len(w.buffer) == 0 {
		return nil
	}
	_, err := w.conn.Write(w.buffer)
	w.buffer = w.buffer[:0]
	return err
}
