package link

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/io/wire"
)

// The text before and after the JSON of the unit in the query that announces it.
const (
	headerBegin = "SET pomelofork.unit = '"
	headerEnd   = "'"
)

// encodeHeader returns the query that announces a unit.
func encodeHeader(unit wire.Unit) (*pgproto3.Query, error) {
	text, err := json.Marshal(unit)
	if err != nil {
		return nil, fmt.Errorf("unit header: %w", err)
	}
	return &pgproto3.Query{String: headerBegin + strings.ReplaceAll(string(text), "'", "''") + headerEnd}, nil
}

// cutHeaderBegin returns the rest of the query's text after headerBegin, and false if
// the message does not announce a unit.
func cutHeaderBegin(m pgproto3.FrontendMessage) (string, bool) {
	query, ok := m.(*pgproto3.Query)
	if !ok {
		return "", false
	}
	return strings.CutPrefix(query.String, headerBegin)
}

// parseHeader parses the text that follows headerBegin.
func parseHeader(rest string) (wire.Unit, error) {
	text, ok := strings.CutSuffix(rest, headerEnd)
	if !ok {
		return wire.Unit{}, fmt.Errorf("unit header: quote missing at the end")
	}
	var unit wire.Unit
	if err := json.Unmarshal([]byte(strings.ReplaceAll(text, "''", "'")), &unit); err != nil {
		return wire.Unit{}, fmt.Errorf("unit header: %w", err)
	}
	return unit, nil
}
