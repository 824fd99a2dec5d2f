// Package member decides which instances of the fleet are suspected to have failed or have
// ended, from their messages and the platform's list of instances alone. It also decides
// which instance proposes which change of the members in the record of rights.
//
// Heartbeats establish no agreement. They tell an instance when to stop using its rights
// and when it may propose a change. What the instances agree on is in the store only.
package member
