// Package caller is the entry: it speaks PostgreSQL with callers, knows their client
// account and route, draws a token of the account's rate for each unit of work, and
// sends the unit down a lane to a gateway of the service.
//
// A unit of work is a transaction, or a single statement outside one. A session keeps
// a lane only while a unit runs, so a million idle sessions hold no connection to a
// backend server.
package caller
