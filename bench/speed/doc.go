// Package speed measures the path through an instance against a direct connection
// to the backend server, in the same run, and what idle connections cost.
package speed
