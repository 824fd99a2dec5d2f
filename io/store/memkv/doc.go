// Package memkv is the platform's service in memory. Tests use it as a Store with
// switches for faults, and the stand-in of the platform serves it over HTTP.
package memkv
