// Package lease decides who may use a right, and when.
//
// A right is something that only one instance may use at a time: a minting share of
// a client account's rate, or a gateway's rank of a service. Who holds which right
// follows from one record in the platform's key-value service. The record has an
// epoch and a list of members; it changes by compare-and-swap alone. A holder uses
// its rights while the store or more than half of the members show it its own epoch,
// and a successor waits until that evidence must have run out.
//
// docs/notes/rights.md argues why two instances never use one right at a time.
package lease
