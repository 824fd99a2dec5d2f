// Package relay carries calls between instances by net/rpc: orders to the instance that
// holds a server's connections, requests for tokens of a client account, requests for a
// service's newest point, and requests for changes of the store. The messages are encoded by
// hand-written code. Statements of callers pass through here, and an encoding by reflection
// would cost more than the rest of the transfer.
package relay
