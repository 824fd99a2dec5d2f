package event

import (
	"maps"
	"sync"
)

// Catalogue returns all kinds of events by their numbers. The caller must not modify the map.
var Catalogue = sync.OnceValue(func() map[ID]Kind {
	all := map[ID]Kind{}
	for _, area := range []map[ID]Kind{confKinds, groupKinds, rightKinds, gatewayKinds, entryKinds, instanceKinds} {
		maps.Copy(all, area)
	}
	return all
})
