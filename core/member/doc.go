// Package member judges which instances of the fleet are alive, by evidence alone,
// and decides who proposes which change of the record's members.
//
// Heartbeats agree on nothing. They say who must stop and who may ask; what is agreed
// is in the store alone.
package member
