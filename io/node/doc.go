// Package node assembles one instance of the fleet. The instance accepts callers, takes
// part in the fleet's leases, is a gateway for some services, and serves the administration
// API.
//
// A right is a named exclusive role that one instance holds by lease, such as one of the
// gateway ranks of a service or the issuing of a client account's tokens. The record of
// rights in the store lists the members of the fleet, from which each instance derives who
// holds which right. An epoch is the number of one version of that record.
package node
