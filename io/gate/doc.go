// Package gate implements the gateway of one database service. A gateway has a share of
// the slots and connections of each backend server. It queues the statements of client
// accounts for them in fair order, chooses the server, runs the batch, and passes the
// answer on once no failover can make it wrong.
//
// A gateway works only while its instance holds the right to that share. A right is a
// named exclusive role that one instance holds by lease.
package gate
