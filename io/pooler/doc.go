// Package pooler holds the connections to backend servers, one Pool per server, and runs
// statements on them. The queue of core/wait decides which waiting statement runs next and
// which ones are rejected.
package pooler
