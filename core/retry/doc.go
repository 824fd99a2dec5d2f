// Package retry decides what happens to a batch of statements that got no complete
// answer: whether it may be sent again, whether its recorded outcome is looked up, or
// which refusal the caller gets. A refusal says "not run" only if that is certain.
package retry
