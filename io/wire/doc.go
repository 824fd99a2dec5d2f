// Package wire holds what passes between an entry instance, which faces the
// callers, and a gateway, which faces the backend servers of one service. Both
// ends may be the same process; then no socket lies between them.
package wire
