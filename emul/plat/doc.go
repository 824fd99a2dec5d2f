// Package plat is a stand-in for the platform: its key-value service and its list
// of instances over HTTP and JSON, with switches for outages, slowness and answers
// that get lost after they took effect. It keeps everything in memory.
package plat
