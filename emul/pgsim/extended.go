package pgsim

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// prepared is a prepared statement.
type prepared struct {
	statement parsed
	known     statement
	// empty says that the text held no statement.
	empty bool
	oids  []uint32
}

// portal is a prepared statement with its parameters.
type portal struct {
	prepared *prepared
	args     []string
}

// handle takes one message.
func (s *session) handle(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Query:
		s.query(m.String)
		s.ready()
		return
	case *pgproto3.Sync:
		s.skip = false
		s.ready()
		if s.tx == nil {
			clear(s.portals)
		}
		return
	}
	if s.skip {
		return
	}
	if err := s.extended(m); err != nil {
		s.fail(err)
		s.skip = true
	}
}

// extended takes one message of the extended protocol.
func (s *session) extended(m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		return s.prepare(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(m)
	case *pgproto3.Execute:
		return s.executePortal(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.statements, m.Name)
		} else {
			delete(s.portals, m.Name)
		}
		s.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Flush:
	default:
		return badParameter
	}
	return nil
}

func (s *session) prepare(m *pgproto3.Parse) error {
	all := parse(m.Query)
	if len(all) > 1 {
		return fault{"42601", "only one statement in a prepared statement"}
	}
	one := &prepared{empty: len(all) == 0}
	if !one.empty {
		one.statement = all[0]
		known, err := find(one.statement.shape)
		if err != nil {
			return err
		}
		one.known = known
	}
	one.oids = make([]uint32, one.statement.parameters())
	for i := range one.oids {
		one.oids[i] = oidText
		if i < len(m.ParameterOIDs) && m.ParameterOIDs[i] != 0 {
			one.oids[i] = m.ParameterOIDs[i]
		}
	}
	s.statements[m.Name] = one
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) bind(m *pgproto3.Bind) error {
	one, ok := s.statements[m.PreparedStatement]
	if !ok {
		return noStatement
	}
	if len(m.Parameters) != len(one.oids) {
		return badParameter
	}
	given := make([]string, len(m.Parameters))
	for i, raw := range m.Parameters {
		var err error
		if given[i], err = decode(raw, format(m.ParameterFormatCodes, i), one.oids[i]); err != nil {
			return err
		}
	}
	args, err := one.statement.fill(given)
	if err != nil {
		return err
	}
	s.portals[m.DestinationPortal] = &portal{prepared: one, args: args}
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(m *pgproto3.Describe) error {
	var one *prepared
	if m.ObjectType == 'S' {
		one = s.statements[m.Name]
		if one == nil {
			return noStatement
		}
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: one.oids})
	} else {
		p, ok := s.portals[m.Name]
		if !ok {
			return noPortal
		}
		one = p.prepared
	}
	if len(one.known.columns) == 0 {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	s.backend.Send(rowDescription(one.known.columns))
	return nil
}

func (s *session) executePortal(m *pgproto3.Execute) error {
	p, ok := s.portals[m.Portal]
	if !ok {
		return noPortal
	}
	if p.prepared.empty {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	res, err := s.execute(p.prepared.statement, p.args)
	if err != nil {
		return err
	}
	s.send(res)
	return nil
}
