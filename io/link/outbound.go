package link

import (
	"fmt"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
)

// outbound gathers an answer and sends it in large pieces. It implements wire.Sink.
type outbound struct {
	conn   net.Conn
	buffer []byte
}

// Message implements wire.Sink.
func (o *outbound) Message(m pgproto3.BackendMessage) error {
	buffer, err := m.Encode(o.buffer)
	if err != nil {
		return fmt.Errorf("answer of a lane: %w", err)
	}
	o.buffer = buffer
	if len(o.buffer) < flushBytes {
		return nil
	}
	return o.flush()
}

// flush sends what was gathered.
func (o *outbound) flush() error {
	if len(o.buffer) == 0 {
		return nil
	}
	_, err := o.conn.Write(o.buffer)
	o.buffer = o.buffer[:0]
	return err
}
