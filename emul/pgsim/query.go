package pgsim

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// query runs the statements of a simple query as one implicit transaction.
func (s *session) query(text string) {
	all := parse(text)
	if len(all) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for i, one := range all {
		if err := s.queryOne(one, i == len(all)-1); err != nil {
			s.fail(err)
			return
		}
	}
}

// queryOne runs one statement. The implicit transaction ends before the last
// statement is reported complete.
func (s *session) queryOne(p parsed, last bool) error {
	known, err := find(p.shape)
	if err != nil {
		return err
	}
	args, err := p.fill(nil)
	if err != nil {
		return err
	}
	res, err := s.execute(p, args)
	if err != nil {
		return err
	}
	if last && s.tx != nil && !s.tx.block {
		if err := s.finish(s.ctx); err != nil {
			return err
		}
	}
	if len(known.columns) > 0 {
		s.backend.Send(rowDescription(known.columns))
	}
	s.send(res)
	return nil
}

// send sends the rows and the tag of a result.
func (s *session) send(res result) {
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

// rowDescription declares all columns as text.
func rowDescription(columns []string) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for _, name := range columns {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name: []byte(name), DataTypeOID: oidText, DataTypeSize: -1, TypeModifier: -1,
		})
	}
	return d
}
