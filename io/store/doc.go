// Package store is the client of the platform's key-value service and of its list
// of instances. Other packages depend on the Store interface; Client speaks HTTP
// and JSON, and package memkv keeps everything in memory for tests.
package store
