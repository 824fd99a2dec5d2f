package gate

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/core/model"
	"pomelofork/io/match"
)

// reply is the answer to a statement that the gateway sent by itself.
type reply struct {
	// errorCode is the SQLSTATE of the first error, or empty.
	errorCode string
	txStatus  byte
	point     model.Point
	rows      [][]string
}

// runInternal runs a statement on a connection without passing the answer on to the caller.
// If the server answers with an error, the error is in the reply and runInternal returns
// none.
func runInternal(ctx context.Context, c *conn, text string) (*reply, error) {
	if err := c.Add(&pgproto3.Query{String: text}); err != nil {
		return nil, err
	}
	r := &reply{}
	err := c.Exchange(ctx, func(step match.Step) error {
		for _, m := range step.Show {
			if err := r.add(m); err != nil {
				return err
			}
		}
		return nil
	})
	return r, err
}

func (r *reply) add(m pgproto3.BackendMessage) error {
	switch m := m.(type) {
	case *pgproto3.ErrorResponse:
		if r.errorCode == "" {
			r.errorCode = m.Code
		}
	case *pgproto3.ReadyForQuery:
		r.txStatus = m.TxStatus
	case *pgproto3.DataRow:
		row := make([]string, len(m.Values))
		for i, value := range m.Values {
			row[i] = string(value)
		}
		r.rows = append(r.rows, row)
	case *pgproto3.ParameterStatus:
		if m.Name != parameterPoint {
			return nil
		}
		point, err := model.ParsePoint(m.Value)
		r.point = point
		return err
	}
	return nil
}
