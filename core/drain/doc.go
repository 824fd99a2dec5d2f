// Package drain decides what goes on at something that is on its way out: a
// gateway that stops, and a backend server that leaves.
package drain
