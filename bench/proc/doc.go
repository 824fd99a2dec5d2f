// Package proc reads what processes of this machine use: processor time, memory,
// and the bytes that they pass to and from the system. It needs Linux's /proc.
package proc
