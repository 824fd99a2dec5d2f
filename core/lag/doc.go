// Package lag estimates when a replica's log will hold a wanted point, and decides what a read does
// while no replica has it.
//
// Load pattern: all replicas of a service fall seconds behind at full load. If all reads went to the
// primary, it would refuse the writes that only it can run. If all waited, most would be answered late.
// So a read waits only for a replica that will have caught up within the read's target, and goes to the
// primary only while the primary takes reads of its priority. The rest is refused at once.
package lag
