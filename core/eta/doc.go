// Package eta estimates when a statement would be answered at a server, from what the server's gateway
// reported last and what this instance has seen of its own statements.
//
// Load pattern: callers compete for too little capacity, and servers differ by their queues from one
// moment to the next. Fixed costs send statements to the queue that is long, and let callers find out by
// a hop, and by their timeout, that no server can answer in time.
//
// A report counts for reportLife, less its age. Without one only the statements in flight from this
// instance count, and a statement is never refused.
package eta
