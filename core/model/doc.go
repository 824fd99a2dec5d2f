// Package model defines the basic value types that all other packages share: identifiers,
// log points, access modes and refusals. It imports no other package of this module
// and contains no decisions.
package model
