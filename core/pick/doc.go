// Package pick decides, for one entry, at which server the next attempt of a statement is made, whether
// the statement waits for a replica first, and whether it is refused without an attempt.
//
// Load pattern: callers compete for too little capacity, and refused callers come back. Each attempt at
// a server that can't answer in time costs its gateway work and the caller time, and makes the next
// refusal more likely.
package pick
