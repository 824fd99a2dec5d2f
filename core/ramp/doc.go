// Package ramp limits what a backend server gets that just started and is still cold.
//
// Load pattern: a server starts, or a whole failure domain returns, while the others are at full
// load. The new server has no work in flight, so that every instance would choose it at once, and it
// is slower than usual.
//
// Only the gateway of the server sends it anything. A Ramp counts what it sends. A Claim says whether
// an instance may take itself for the gateway, so that the statements of a former and a new gateway
// don't add up, although they learn of the change at different times.
package ramp
