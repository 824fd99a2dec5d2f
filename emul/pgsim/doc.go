// Package pgsim emulates one group of backend servers: three servers in one process, each
// on its own port, with asynchronous replication between them. The servers speak the
// PostgreSQL protocol and expose terms and log points as described in docs/PROTOCOLS.md.
// The package is used by the tests, the demo and the experiments.
package pgsim
