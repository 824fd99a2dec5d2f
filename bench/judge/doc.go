// Package judge checks what callers saw. It takes the history of one run, every
// attempt of every operation, and the state of the services after it, and says
// which of the promises of the system were broken.
package judge
