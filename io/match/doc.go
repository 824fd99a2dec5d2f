// Package match matches the messages that a backend server sends to the frontend
// messages that they answer. The proxy adds messages that the caller didn't send, whose
// answers it must not pass on, and withholds messages that the server need not see, whose
// answers it must supply itself. A Queue does both and keeps the answers in the order
// that the PostgreSQL protocol demands.
package match
