// Package proxy runs one instance. It combines the entry that serves callers, the
// connection pools of the backend servers, the calls between instances, the rights that
// this instance holds, and the monitoring of primaries. What differs between platforms
// is passed in by Config.
//
// A right is a named exclusive role, such as issuing the tokens of some client accounts,
// that one instance at a time holds by lease.
package proxy
