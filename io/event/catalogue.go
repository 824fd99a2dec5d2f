package event

import (
	"maps"
	"sync"
)

// Catalogue returns every kind of event by its number. The map must not be changed.
var Catalogue = sync.OnceValue(func() map[ID]Kind {
	all := map[ID]Kind{}
	for _, area := range []map[ID]Kind{confKinds, groupKinds, rightKinds, gateKinds, callerKinds, nodeKinds} {
		maps.Copy(all, area)
	}
	return all
})
