package match

import "github.com/jackc/pgx/v5/pgproto3"

// position says whether a backend message ends the answer to a frontend message.
type position uint8

const (
	positionInside position = iota
	positionLast
)

// isAsynchronous reports whether a server may send m at any time, independently of the
// messages that it answers.
func isAsynchronous(m pgproto3.BackendMessage) bool {
	switch m.(type) {
	case *pgproto3.NoticeResponse, *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		return true
	}
	return false
}

// positionOf returns the position of m in the answer to a message of the given kind,
// and false if m can't belong to that answer.
func positionOf(kind Kind, m pgproto3.BackendMessage) (position, bool) {
	switch kind {
	case KindQuery:
		return positionInQuery(m)
	case KindExecute:
		return positionInExecute(m)
	case KindDescribeStatement, KindDescribePortal:
		return positionInDescribe(kind, m)
	default:
		return positionLast, isCompletion(kind, m)
	}
}

// isCompletion reports whether m answers a message of the given kind. It covers the kinds
// whose answer is exactly one message.
func isCompletion(kind Kind, m pgproto3.BackendMessage) bool {
	var matches bool
	switch m.(type) {
	case *pgproto3.ParseComplete:
		matches = kind == KindParse
	case *pgproto3.BindComplete:
		matches = kind == KindBind
	case *pgproto3.CloseComplete:
		matches = kind == KindClose
	case *pgproto3.ReadyForQuery:
		matches = kind == KindSync
	}
	return matches
}

func positionInQuery(m pgproto3.BackendMessage) (position, bool) {
	switch m.(type) {
	case *pgproto3.ReadyForQuery:
		return positionLast, true
	case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.CloseComplete:
		return positionInside, false
	}
	return positionInside, true
}

func positionInExecute(m pgproto3.BackendMessage) (position, bool) {
	switch m.(type) {
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return positionLast, true
	case *pgproto3.DataRow, *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse,
		*pgproto3.CopyBothResponse, *pgproto3.CopyData, *pgproto3.CopyDone:
		return positionInside, true
	}
	return positionInside, false
}

func positionInDescribe(kind Kind, m pgproto3.BackendMessage) (position, bool) {
	switch m.(type) {
	case *pgproto3.ParameterDescription:
		return positionInside, kind == KindDescribeStatement
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return positionLast, true
	}
	return positionInside, false
}
