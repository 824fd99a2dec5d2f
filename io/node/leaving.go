package node

import (
	"maps"
	"sync"

	"pomelofork/core/model"
	"pomelofork/io/store"
)

// leavingServers holds the backend servers that the platform's list of instances shows as
// leaving. The list may be stale, so it is only one of three sources: an operator can
// set a server to draining, and the server itself can report that it is leaving.
type leavingServers struct {
	mu  sync.Mutex
	ids map[model.ServerID]bool
}

// update replaces the set by the leaving servers of a new list. A server whose entry can't be
// read stays as it was, and so does each that isn't in a list that isn't complete.
func (l *leavingServers) update(listed []store.ListedInstance, complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ids := map[model.ServerID]bool{}
	if !complete {
		maps.Copy(ids, l.ids)
	}
	for _, entry := range listed {
		id := model.ServerID(entry.ID)
		switch {
		case entry.Kind == store.KindBackendServer:
			ids[id] = entry.State == store.StateLeaving
		case entry.Kind == "":
			ids[id] = l.ids[id]
		}
	}
	l.ids = ids
}

// contains reports whether the server was leaving in the last list.
func (l *leavingServers) contains(id model.ServerID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ids[id]
}

// leaving reports whether a backend server is leaving according to the platform's list or
// the configuration.
func (n *Node) leaving(id model.ServerID) bool {
	if n.leavingServers.contains(id) {
		return true
	}
	config := n.tracker.current()
	return config != nil && config.Draining(id)
}
