// Package peer connects the instances of a fleet by net/rpc. It feeds the decisions
// of core/lease, core/limit and core/member and carries out what they decide.
package peer
