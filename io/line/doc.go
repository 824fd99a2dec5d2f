// Package line is the client's side of one PostgreSQL connection past its
// startup. It sends messages in one go, matches the answers to them, and tells
// whether anything was sent when the connection is lost.
package line
