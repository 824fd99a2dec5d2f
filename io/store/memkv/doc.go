// Package memkv implements store.Store in memory, with faults that a test can switch on.
// Tests use it directly, and the emulator of the platform serves it over HTTP.
package memkv
