// Package model holds the plain values that every other package shares:
// identifiers, log positions, access modes and the typed refusal.
// It imports nothing of pomelofork and decides nothing.
package model
