// Package sess keeps what a session knows of its own past: for each service the
// last place in the log that it wrote. A read that sees this place sees every
// write of the session.
package sess
