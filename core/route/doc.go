// Package route decides which backend server a unit of work may use. A read may
// use any server that surely holds every write of its session and is fresh
// enough; everything else runs at the primary.
package route
