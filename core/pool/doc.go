// Package pool counts the connections of one gateway to one backend server and holds the
// idle ones. It decides when another connection may be opened; the caller opens and closes
// them.
package pool
