// Package dbconn implements the client side of a PostgreSQL connection after startup.
// It sends several messages at once, matches the answers to them, and reports after a
// failure whether anything had been sent.
package dbconn
