// Package entry serves callers' sessions. For each operation it checks the caller's key
// and route against the configuration in force, takes a token of the client account's
// rate, chooses a backend server, and retries attempts that certainly did not run. It
// keeps each session's settings, prepared statements and transaction, so that the
// statements of a session may run on different servers.
package entry
