package pgsim

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// runQuery runs the statements of a simple query as one implicit transaction. It stops at
// the first error.
func (s *session) runQuery(text string) {
	all := parseStatements(text)
	if len(all) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for i, statement := range all {
		if err := s.runQueryStatement(statement, i == len(all)-1); err != nil {
			s.sendError(err)
			return
		}
	}
}

// runQueryStatement runs one statement of a simple query. It commits the implicit
// transaction before it reports the completion of the last statement.
func (s *session) runQueryStatement(p parsedStatement, last bool) error {
	supported, err := findStatement(p.normalized)
	if err != nil {
		return err
	}
	args, err := p.arguments(nil)
	if err != nil {
		return err
	}
	res, err := s.execute(p, args)
	if err != nil {
		return err
	}
	if last && s.tx != nil && !s.tx.block {
		if err := s.commitTransaction(s.ctx); err != nil {
			return err
		}
	}
	if len(supported.columns) > 0 {
		s.backend.Send(rowDescription(supported.columns))
	}
	s.sendResult(res)
	return nil
}

// sendResult sends the rows and the command tag of a result.
func (s *session) sendResult(res result) {
	for _, row := range res.rows {
		values := make([][]byte, len(row))
		for i, v := range row {
			if v != nil {
				values[i] = []byte(*v)
			}
		}
		s.backend.Send(&pgproto3.DataRow{Values: values})
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.tag)})
}

// rowDescription describes the columns with the given names, all of type text.
func rowDescription(columns []string) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for _, name := range columns {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name: []byte(name), DataTypeOID: oidText, DataTypeSize: -1, TypeModifier: -1,
		})
	}
	return d
}
