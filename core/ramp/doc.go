// Package ramp limits what a backend server gets that just started and is still cold.
//
// Load pattern: a server starts, or a whole failure domain returns, while the others are at full
// load. The new server has no work in flight, so that every instance would choose it at once, and it
// is slower than usual.
package ramp
