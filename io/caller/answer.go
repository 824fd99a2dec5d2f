package caller

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/core/model"
)

// lingerTime is how long a session that ends with an error continues to read after it
// sent the error. If the connection were closed while a request of the caller is on its
// way, TCP would reset it and the caller might never see the error.
const lingerTime = 200 * time.Millisecond

// sendReady ends the answer to a batch with a ReadyForQuery and flushes it to the caller.
func (s *session) sendReady() error {
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus()})
	if err := s.backend.Flush(); err != nil {
		return errClosed
	}
	return nil
}

// txStatus returns the transaction status that ReadyForQuery reports to the caller.
func (s *session) txStatus() byte {
	switch {
	case s.aborted:
		return txFailed
	case s.stream != nil:
		return txOpen
	default:
		return txIdle
	}
}

// sendRefusal answers the batch with a refusal. The caller of this method has aborted the
// transaction, if one was open.
func (s *session) sendRefusal(refusal *model.Refusal) error {
	s.backend.Send(refusalMessage(severityError, refusal))
	return s.sendReady()
}

// fatal sends the refusal as a FATAL error and ends the session. It always returns
// errClosed.
func (s *session) fatal(refusal *model.Refusal) error {
	if s.stream != nil {
		s.countUnit(refusal.Reason())
	}
	s.endUnit()
	s.backend.Send(refusalMessage(severityFatal, refusal))
	if err := s.backend.Flush(); err != nil {
		return errClosed
	}
	if writeCloser, ok := s.conn.(interface{ CloseWrite() error }); ok {
		_ = writeCloser.CloseWrite()
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, s.conn)
	return errClosed
}

// isEOF reports whether err says that the connection was closed by the caller or by this
// server.
func isEOF(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
}
