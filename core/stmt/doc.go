// Package stmt defines the statements that callers send, the commands to backend servers
// and the answers to both, independent of any wire protocol. Each protocol of the program
// has a codec that reads and writes these types.
package stmt
