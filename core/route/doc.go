// Package route decides which backend server a unit of work may use. A read may use
// any server that certainly holds every write of its session and whose data are
// recent enough; everything else runs at the primary.
package route
