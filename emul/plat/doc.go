// Package plat emulates the platform: its key-value service and its list of instances, over
// HTTP and JSON. A control interface injects outages, delays, and calls that take effect
// but whose answer is lost. All data is kept in memory.
package plat
