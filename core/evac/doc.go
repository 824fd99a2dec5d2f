// Package evac decides what may still be sent to the servers of a failure domain that an operator
// has evacuated, and when the primaries there are replaced.
//
// Load pattern: all reads of a domain move to the servers of the others within a second or two. They
// move in steps, so that connections there open gradually. All primaries of the domain
// are replaced within the same time, at a pace that the platform accepts.
package evac
