package group

import (
	"context"
	"errors"
	"net"
	"strings"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"pomelofork/core/model"
	"pomelofork/core/term"
)

// SQLSTATEs of errors that say something about the state of the server.
const (
	sqlstateCanceled = "57014"
	sqlstateFenced   = "57P04"
	sqlstateReadOnly = "25006"
	// sqlstatePrefixShutdown begins the SQLSTATEs of a server that is shutting down, is
	// starting or has crashed.
	sqlstatePrefixShutdown = "57P"
)

// isCanceled reports whether the statement was ended by a cancel request.
func isCanceled(err error) bool {
	var e *pgconn.PgError
	return errors.As(err, &e) && e.Code == sqlstateCanceled
}

// isServerError reports whether the server itself returned the error.
func isServerError(err error) bool {
	var e *pgconn.PgError
	return errors.As(err, &e)
}

// isShutdown reports whether the server returned that it is shutting down, is starting
// or has crashed.
func isShutdown(err error) bool {
	var e *pgconn.PgError
	return errors.As(err, &e) && strings.HasPrefix(e.Code, sqlstatePrefixShutdown)
}

// classifyFault returns the kind of fault that an error is evidence of. It returns
// other for an error that is none of the special cases, such as a connection that was
// closed.
func classifyFault(err error, other term.Fault) term.Fault {
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return term.FaultRefused
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return term.FaultTimeout
	case isServerError(err) && !isShutdown(err):
		return term.FaultLogin
	}
	return other
}

// ReportError reports an error that a connection or a statement got from a server. The
// cancellation by the caller itself and errors of the statement, such as a syntax
// error, say nothing about the server and are ignored. An error that shows that the
// server is not the primary, or is fenced, starts a status request at once.
func (w *Watcher) ReportError(id model.ServerID, err error) {
	p, ok := w.pollers[id]
	if !ok || err == nil || errors.Is(err, context.Canceled) {
		return
	}
	var e *pgconn.PgError
	if errors.As(err, &e) && (e.Code == sqlstateFenced || e.Code == sqlstateReadOnly) {
		p.pollNow()
		return
	}
	if isServerError(err) && !isShutdown(err) {
		return
	}
	f := classifyFault(err, term.FaultStatement)
	if f == term.FaultTimeout {
		f = term.FaultStatement
	}
	w.apply(func(now time.Time) []term.Action { return w.machine.ObserveFault(now, id, f) })
}
