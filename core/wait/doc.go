// Package wait orders the statements that wait for the slots of one backend server, and
// refuses those that cannot be served in time as soon as they arrive.
//
// Load pattern: replicas lag, and for some seconds all reads of a service go to its
// primary, more than its slots can serve. First come first served would make every one of
// them late. Instead, a statement that continues a transaction goes first, since its
// connection and its locks are held. Then come the statements that can still meet their
// target, by priority and then by the time left, and then the late ones. A statement that
// cannot be served before its deadline is refused when it arrives, not when its time is
// over.
//
// Load pattern of Policy.Contended: client accounts compete for too few slots, one of them sends
// several times its usual load, and refused callers return all at once. Accounts then share the
// slots by their rates, a statement may wait for the gaps that more urgent work leaves, and refused
// callers get places in a line.
package wait
