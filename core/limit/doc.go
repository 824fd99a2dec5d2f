// Package limit enforces the rate and burst of a client account over the whole fleet.
//
// The rate and burst are divided into a fixed number of shares. Each share has one issuer,
// a token bucket that one instance at a time may use. Using it is a right: a named exclusive
// role that an instance holds by lease. Token caches at the entries draw small grants from
// the issuers and spend them. Tokens are debited before they are sent, so a lost message
// loses tokens and never creates any.
//
// docs/notes/limits.md compares this with other designs.
package limit
