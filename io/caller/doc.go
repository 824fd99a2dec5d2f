// Package caller implements the entry, the role of an instance that serves callers. It
// speaks the PostgreSQL protocol with them, authenticates their client account, takes a
// token of the account's rate for each unit of work, and sends the unit on a stream to a
// gateway of the service that the session's route names.
//
// A unit of work is a transaction, or a single statement outside one. A session keeps a
// stream only while a unit runs, so even a million idle sessions occupy no connection to
// a backend server.
package caller
