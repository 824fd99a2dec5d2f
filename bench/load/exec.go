package load

import (
	"context"
	"fmt"
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"

	"pomelofork/bench/judge"
)

// newOp returns the operation of an arrival, before its first attempt.
func (s *session) newOp(a arrival) judge.Op {
	service := s.sched.service
	op := judge.Op{
		ID:       a.id,
		Account:  s.sched.account.Name,
		Session:  s.sched.name,
		Service:  service.Name,
		Kind:     a.kind,
		Intended: a.at,
	}
	route := service.Write
	switch a.kind {
	case judge.KindPost:
		s.counter++
		op.Counter, op.Writer = s.counter, s.sched.name
		op.Key = itemKey(s.plan.Run, op.Account, s.sched.number)
		op.LedgerIDs = postLedgerIDs(a.id)
		if a.withID {
			op.RequestID = a.id
		}
	case judge.KindOrder:
		op.LedgerIDs = orderLedgerIDs(a.id)
	case judge.KindStock:
		route = service.Aged
		op.Key = itemKey(s.plan.Run, op.Account, a.foreign)
	case judge.KindStatus:
		route = service.Fresh
		op.Key = itemKey(s.plan.Run, op.Account, a.foreign)
	}
	op.Route, op.MaxAge = route.Name, route.MaxAge
	return op
}

// exec runs one attempt over the session's connection.
func (s *session) exec(ctx context.Context, op *judge.Op) {
	switch op.Kind {
	case judge.KindPost:
		s.execPost(ctx, op)
	case judge.KindOrder:
		s.execOrder(ctx, op)
	default:
		s.execRead(ctx, op)
	}
}

// execPost sends both writes of a posting as one pipelined batch.
func (s *session) execPost(ctx context.Context, op *judge.Op) {
	if op.RequestID != "" {
		if err := set(ctx, s.conn, "pomelofork.request_id", op.RequestID); err != nil {
			noteError(op, err, false)
			return
		}
	}
	text := judge.ItemText{Key: op.Key, Writer: op.Writer, Counter: op.Counter}.String()
	batch := &pgconn.Batch{}
	batch.ExecParams(sqlAddLedger, params(op.LedgerIDs[0]), nil, nil, nil)
	batch.ExecParams(sqlSetItem, params(op.Key, text), nil, nil, nil)
	if _, err := s.conn.ExecBatch(ctx, batch).ReadAll(); err != nil {
		noteError(op, err, true)
		return
	}
	op.Result = judge.ResultOK
}

// statement is one step of a transaction.
type statement struct {
	text   string
	params [][]byte
}

// execOrder runs a transaction step by step, as callers with an object mapper do.
func (s *session) execOrder(ctx context.Context, op *judge.Op) {
	pair := pairOf(s.plan.Run, op.Service, op.Account)
	steps := []statement{
		{"BEGIN", nil},
		{sqlAddLedger, params(op.LedgerIDs[0])},
		{sqlSetItem, params(pair.Left, pair.Left+"|"+op.ID)},
		{sqlSetItem, params(pair.Right, pair.Right+"|"+op.ID)},
		{sqlAddLedger, params(op.LedgerIDs[1])},
	}
	for _, step := range steps {
		result := s.conn.ExecParams(ctx, step.text, step.params, nil, nil, nil).Read()
		if result.Err != nil {
			// Without its commit the transaction can't take effect.
			noteError(op, result.Err, false)
			s.rollback(ctx)
			return
		}
	}
	result := s.conn.ExecParams(ctx, "COMMIT", nil, nil, nil, nil).Read()
	switch {
	case result.Err != nil:
		noteError(op, result.Err, true)
	case result.CommandTag.String() != "COMMIT":
		op.Result, op.Detail = judge.ResultNotRun, "commit answered "+result.CommandTag.String()
	default:
		op.Result = judge.ResultOK
	}
}

// rollback leaves a failed transaction, or the connection when that fails too.
func (s *session) rollback(ctx context.Context) {
	const idle = 'I'
	if s.conn.IsClosed() || s.conn.TxStatus() == idle {
		return
	}
	if err := s.conn.Exec(ctx, "ROLLBACK").Close(); err != nil {
		s.disconnectKeep()
	}
}

// disconnectKeep closes the connection and keeps its state readable.
func (s *session) disconnectKeep() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = s.conn.Close(ctx)
}

// execRead reads one item and checks that the answer belongs to the question.
func (s *session) execRead(ctx context.Context, op *judge.Op) {
	result := s.conn.ExecParams(ctx, sqlGetItem, params(op.Key), nil, nil, nil).Read()
	if result.Err != nil {
		noteError(op, result.Err, true)
		return
	}
	op.Result = judge.ResultOK
	if err := noteItem(op, result.Rows); err != nil {
		op.WrongAnswer = err.Error()
	}
}

// itemColumns is the number of columns in the answer to sqlGetItem.
const itemColumns = 2

// noteItem writes the answer to a read into the attempt.
func noteItem(op *judge.Op, rows [][][]byte) error {
	if len(rows) == 0 {
		return nil
	}
	if len(rows) != 1 || len(rows[0]) != itemColumns {
		return fmt.Errorf("%d rows for item %s", len(rows), op.Key)
	}
	text, err := judge.ParseItemText(string(rows[0][0]))
	if err != nil {
		return err
	}
	if text.Key != op.Key {
		return fmt.Errorf("asked for item %s, got %s", op.Key, text.Key)
	}
	op.Counter, op.Writer = text.Counter, text.Writer
	op.Version, err = strconv.ParseInt(string(rows[0][1]), 10, 64)
	if err != nil {
		return fmt.Errorf("version of item %s: %w", op.Key, err)
	}
	return nil
}

// params returns the text form of statement parameters.
func params(values ...string) [][]byte {
	list := make([][]byte, len(values))
	for i, value := range values {
		list[i] = []byte(value)
	}
	return list
}
