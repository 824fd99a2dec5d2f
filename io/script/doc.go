// Package script matches the answers of a backend server to the messages that
// asked for them. It knows which answer belongs to which message, so that answers
// of hidden messages can be left out and answers of messages that were never
// forwarded can be put in their place, in the order that the protocol demands.
package script
