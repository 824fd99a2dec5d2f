// Package retry decides what happens to a batch that got no complete answer:
// whether it may be sent again, whether its outcome can be looked up, or what the
// caller is told. A refusal says "not run" only when that is certain.
package retry
