// Package link carries streams of units of work from an entry to the gateway at
// another instance, over the PostgreSQL protocol.
//
// The query "SET pomelofork.unit = '<json>'" announces a unit and is called its header. It
// is sent together with the unit's first batch. The log point of a result is sent in a
// ParameterStatus before ReadyForQuery. A refusal is sent as an ErrorResponse that carries
// its reason, outcome, retry delay and detail.
package link
