// Package wire defines what passes between an entry, which is the instance that a
// caller is connected to, and a gateway, which holds the connections to the backend
// servers of one service. The entry and the gateway may be the same process, in which
// case no socket is involved.
package wire
