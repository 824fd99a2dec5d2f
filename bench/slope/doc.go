// Package slope measures how the cost of one part of an instance grows with the
// size of a fleet, and fits lines to what it measured.
package slope
