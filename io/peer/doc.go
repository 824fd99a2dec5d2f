// Package peer connects the instances of a fleet with each other and with the platform's
// key-value service.
//
// It sends heartbeats, keeps the record of rights and the configuration current, hands
// rights over between instances and draws tokens for this instance's callers. A right is a
// named exclusive role that one instance holds by lease: issuing the tokens of one share
// of a client account's rate, or being the gateway of one rank for a service.
//
// An epoch is the version number of the record of rights. An instance has authority to use
// its rights while the store or more than half of the members confirm the newest epoch that
// it knows. An epoch is settled when more than half of its members, and more than half of
// the members of the epoch before, know it. Only then may the next record be written.
//
// The decisions are made by packages core/lease, core/limit and core/member. This package
// passes them what it observes and carries out what they decide. Instances call each other
// by net/rpc.
package peer
