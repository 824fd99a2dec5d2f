// Package drain decides which work may still start at a gateway that stops, at a backend server
// that is being drained, and at an instance during its planned stop.
package drain
