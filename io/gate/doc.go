// Package gate is the gateway of one database service. It holds a part of the
// slots and connections of each backend server, lets client accounts wait for
// them in fair order, picks the server, runs the batch and passes on the answer
// once it is certain.
package gate
