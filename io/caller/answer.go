package caller

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/core/model"
)

// lingerTime is how long a session that sent a last error keeps reading, so that the
// error isn't lost to a reset when a request of the caller crosses it.
const lingerTime = 200 * time.Millisecond

// ready tells the caller that the batch is answered and what transaction it is in.
func (s *session) ready() error {
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus()})
	if err := s.backend.Flush(); err != nil {
		return errClosed
	}
	return nil
}

func (s *session) txStatus() byte {
	switch {
	case s.broken:
		return txFailed
	case s.lane != nil:
		return txOpen
	default:
		return txIdle
	}
}

// refuse answers the batch with a refusal. Inside a transaction the transaction is lost.
func (s *session) refuse(refusal *model.Refusal) error {
	s.backend.Send(refusalMessage(severityError, refusal))
	return s.ready()
}

// fatal sends a last error and ends the session.
func (s *session) fatal(refusal *model.Refusal) error {
	if s.lane != nil {
		s.count(refusal.Reason())
	}
	s.dropLane()
	s.backend.Send(refusalMessage(severityFatal, refusal))
	if err := s.backend.Flush(); err != nil {
		return errClosed
	}
	if half, ok := s.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, s.conn)
	return errClosed
}

// isEOF reports whether the caller's connection ended.
func isEOF(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
}
