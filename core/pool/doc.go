// Package pool counts the connections of one gateway to one backend server and
// keeps the idle ones. It decides when one may be opened; it opens none itself.
package pool
