// Package sess holds what a session knows of its own commits, by which it reads its own writes: for each service, the
// point in the service's log that its reads have to reach. A read at a server whose log holds this point sees every
// write of the session. Both ways of running use it: as tokens that callers carry along, and in memory for the life of
// a connection.
package sess
