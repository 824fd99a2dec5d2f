package pgsim

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

type preparedStatement struct {
	parsed    parsedStatement
	supported supportedStatement
	// empty says that the query contains no statement. The protocol allows that.
	empty         bool
	parameterOIDs []uint32
}

// portal is a prepared statement with its arguments.
type portal struct {
	statement *preparedStatement
	args      []string
}

// handleMessage handles one message after the startup phase.
func (s *session) handleMessage(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Query:
		s.runQuery(m.String)
		s.endBatch()
		return
	case *pgproto3.Sync:
		s.skipUntilSync = false
		s.endBatch()
		if s.tx == nil {
			clear(s.portals)
		}
		return
	}
	if s.skipUntilSync {
		return
	}
	if err := s.handleExtended(m); err != nil {
		s.sendError(err)
		s.skipUntilSync = true
	}
}

// handleExtended handles one message of the extended query protocol.
func (s *session) handleExtended(m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		return s.handleParse(m)
	case *pgproto3.Bind:
		return s.handleBind(m)
	case *pgproto3.Describe:
		return s.handleDescribe(m)
	case *pgproto3.Execute:
		return s.handleExecute(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.statements, m.Name)
		} else {
			delete(s.portals, m.Name)
		}
		s.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Flush:
	default:
		return errBadParameter
	}
	return nil
}

func (s *session) handleParse(m *pgproto3.Parse) error {
	if _, taken := s.statements[m.Name]; taken && m.Name != "" {
		return errStatementExists
	}
	all := parseStatements(m.Query)
	if len(all) > 1 {
		return sqlError{"42601", "only one statement in a prepared statement"}
	}
	ps := &preparedStatement{empty: len(all) == 0}
	if !ps.empty {
		ps.parsed = all[0]
		supported, err := findStatement(ps.parsed.normalized)
		if err != nil {
			return err
		}
		ps.supported = supported
	}
	ps.parameterOIDs = make([]uint32, ps.parsed.parameterCount())
	for i := range ps.parameterOIDs {
		ps.parameterOIDs[i] = oidText
		if i < len(m.ParameterOIDs) && m.ParameterOIDs[i] != 0 {
			ps.parameterOIDs[i] = m.ParameterOIDs[i]
		}
	}
	s.statements[m.Name] = ps
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) handleBind(m *pgproto3.Bind) error {
	ps, ok := s.statements[m.PreparedStatement]
	if !ok {
		return errNoStatement
	}
	if len(m.Parameters) != len(ps.parameterOIDs) {
		return errBadParameter
	}
	parameters := make([]string, len(m.Parameters))
	for i, raw := range m.Parameters {
		var err error
		if parameters[i], err = decodeParameter(raw, parameterFormat(m.ParameterFormatCodes, i), ps.parameterOIDs[i]); err != nil {
			return err
		}
	}
	args, err := ps.parsed.arguments(parameters)
	if err != nil {
		return err
	}
	s.portals[m.DestinationPortal] = &portal{statement: ps, args: args}
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) handleDescribe(m *pgproto3.Describe) error {
	var ps *preparedStatement
	if m.ObjectType == 'S' {
		ps = s.statements[m.Name]
		if ps == nil {
			return errNoStatement
		}
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: ps.parameterOIDs})
	} else {
		p, ok := s.portals[m.Name]
		if !ok {
			return errNoPortal
		}
		ps = p.statement
	}
	if len(ps.supported.columns) == 0 {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	s.backend.Send(rowDescription(ps.supported.columns))
	return nil
}

func (s *session) handleExecute(m *pgproto3.Execute) error {
	p, ok := s.portals[m.Portal]
	if !ok {
		return errNoPortal
	}
	if p.statement.empty {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	res, err := s.execute(p.statement.parsed, p.args)
	if err != nil {
		return err
	}
	s.sendResult(res)
	return nil
}
