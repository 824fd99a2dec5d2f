package script

import "github.com/jackc/pgx/v5/pgproto3"

// place says where in the answer to one message a backend message stands.
type place uint8

const (
	placeInside place = iota
	placeLast
)

// isAsynchronous reports whether a server may send m at any time.
func isAsynchronous(m pgproto3.BackendMessage) bool {
	switch m.(type) {
	case *pgproto3.NoticeResponse, *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		return true
	}
	return false
}

// placeOf returns the place of m in the answer to a message of the given kind,
// and false when m can't belong to it.
func placeOf(kind Kind, m pgproto3.BackendMessage) (place, bool) {
	switch kind {
	case KindQuery:
		return placeInQuery(m)
	case KindExecute:
		return placeInExecute(m)
	case KindDescribeStatement, KindDescribePortal:
		return placeInDescribe(kind, m)
	default:
		return placeLast, isCompletion(kind, m)
	}
}

// isCompletion covers the kinds that have exactly one message as their answer.
func isCompletion(kind Kind, m pgproto3.BackendMessage) bool {
	var want bool
	switch m.(type) {
	case *pgproto3.ParseComplete:
		want = kind == KindParse
	case *pgproto3.BindComplete:
		want = kind == KindBind
	case *pgproto3.CloseComplete:
		want = kind == KindClose
	case *pgproto3.ReadyForQuery:
		want = kind == KindSync
	}
	return want
}

func placeInQuery(m pgproto3.BackendMessage) (place, bool) {
	switch m.(type) {
	case *pgproto3.ReadyForQuery:
		return placeLast, true
	case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.CloseComplete:
		return placeInside, false
	}
	return placeInside, true
}

func placeInExecute(m pgproto3.BackendMessage) (place, bool) {
	switch m.(type) {
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return placeLast, true
	case *pgproto3.DataRow, *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse,
		*pgproto3.CopyBothResponse, *pgproto3.CopyData, *pgproto3.CopyDone:
		return placeInside, true
	}
	return placeInside, false
}

func placeInDescribe(kind Kind, m pgproto3.BackendMessage) (place, bool) {
	switch m.(type) {
	case *pgproto3.ParameterDescription:
		return placeInside, kind == KindDescribeStatement
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return placeLast, true
	}
	return placeInside, false
}
