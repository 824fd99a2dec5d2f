// Package pgsim is a stand-in for one group of backend servers: three servers in one
// process, each behind its own port, with asynchronous replication between them. It
// speaks the PostgreSQL protocol and exposes terms and log points as
// docs/PROTOCOLS.md says. It exists for tests, the demo and the experiments.
package pgsim
