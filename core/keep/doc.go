// Package keep decides which connections to a backend server a gateway keeps, if the server accepts fewer
// than its client accounts would use.
//
// Load pattern: each connection belongs to one account for its whole life, opening one takes a slot for
// longer than most statements do, and three times as many accounts use a server as it accepts connections.
// What is closed to make room is opened again seconds later, and its statement and those behind it wait
// for that.
package keep
