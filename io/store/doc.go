// Package store is the client of the platform's key-value service and of its list of
// instances.
//
// Other packages depend on the interfaces Store, which changes one key at a time, and
// Table, which has transactions over several keys. Client implements Store over HTTP and
// JSON, and package memkv implements it in memory for tests.
package store
