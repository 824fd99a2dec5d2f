// Package link carries lanes between instances over the PostgreSQL protocol.
//
// A unit of work is announced by a query "SET pomelofork.unit = '<json>'", which
// travels in the same packet as the unit's first batch. The result comes back as
// ParameterStatus ahead of ReadyForQuery, a refusal as an ErrorResponse that
// carries all of its parts.
package link
