package main

import (
	"fmt"
	"time"
)

// grey makes the primary refuse a part of its statements as busy for a while, and then sends a light load of
// transactions.
func grey(folder string) {
	w := newWorld(folder, "zone-a", "zone-b", "zone-c")
	g := w.newGroup("stock", 2, 16, 16, 4*time.Millisecond, 60*time.Millisecond)
	for k, zone := range w.zones {
		w.addInstance(fmt.Sprintf("front-%d", k+1), zone)
	}
	w.configure([]map[string]any{route("r-post", "post", "primary", "stock", 0, 800, 120, false)}, 200)
	w.startAll()
	primary := g.members[0]
	any := func(n int) *instance { return w.instances[n%3] }
	done, failed := w.load("before", 100*time.Millisecond, 4*time.Second, any)
	w.note("before: %d transactions done, %d not", done, failed)
	setGrey := func(share float64) {
		g.mu.Lock()
		defer g.mu.Unlock()
		primary.grey = share
	}
	if w.trouble {
		setGrey(0.4)
		w.note("%s refuses 0.4 of its statements as busy", primary.id)
	}
	done, failed = w.load("meanwhile", 100*time.Millisecond, 6500*time.Millisecond, any)
	setGrey(0)
	w.note("meanwhile: %d transactions done, %d not; the primary is well again", done, failed)
	time.Sleep(5 * time.Second)
	done, failed = w.load("after", 200*time.Millisecond, 30*time.Second, any)
	g.mu.Lock()
	open := len(primary.open)
	g.mu.Unlock()
	w.note("after: %d transactions done, %d not; %d open at the primary", done, failed, open)
	if 10*failed > 6*(done+failed) {
		w.end(1, fmt.Sprintf("Gate broken: %d of %d transactions refused or failed from 5 s to 35 s after the primary was well again; %d transactions stay open there that no client has", failed, done+failed, open))
	}
	w.end(0, fmt.Sprintf("held: %d of %d transactions refused or failed; %d stay open at the primary that no client has", failed, done+failed, open))
}
