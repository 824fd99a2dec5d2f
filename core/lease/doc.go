// Package lease decides which rights an instance may use, and when.
//
// A right is a named exclusive role that one instance holds by lease: issuing the tokens
// of one share of a client account's rate, or being the gateway of one rank for a service.
// At most one instance may use it at a time. Which instance holds which right follows from
// one record in the platform's key-value service. The record has an epoch and a list of
// members, and it is changed by compare-and-swap only. A holder uses its rights while the
// store or more than half of the members confirm its epoch. A successor waits until such a
// confirmation of the former holder must have expired.
//
// docs/notes/rights.md argues why two instances never use one right at a time.
package lease
