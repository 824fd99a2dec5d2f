package main

import (
	"fmt"
	"sync"
	"time"
)

// playSync crashes the primary and a replica of a service with synchronous replication at the same moment. The
// replica's process is back soon, without its log, and the primary's later, with its log. It checks LOST: each
// acknowledged commit is in the log of the backend that is promoted.
func playSync(w *world) {
	const (
		replicaDown = 400 * time.Millisecond
		primaryDown = 7 * time.Second
	)
	w.fenced = true
	g := newGroup(w, "ledger", 1, 4, 2*time.Millisecond, "zone-a", "zone-b", "zone-c")
	w.groups["ledger"] = g
	p, near, far := g.backends[0], g.backends[1], g.backends[2]
	g.delay[near.id], g.delay[far.id] = 2*time.Millisecond, 60*time.Millisecond
	w.configure([]map[string]any{{"name": "r-post", "host": "post", "path_prefix": "/", "type": "primary", "timeout_ms": 800, "target_latency_ms": 120, "priority": 1, "service": "ledger", "public": false}},
		[]map[string]any{{"name": "ledger", "max_connections": 30, "sync_replicas": 1}},
		[]map[string]any{{"name": "tenant1", "api_keys": []string{"key-1"}, "rate_per_s": 500, "burst": 500}})
	for i, name := range []string{"front-a", "front-b", "front-c"} {
		w.addInstance(name, w.zones[i], false)
	}
	w.awaitReady()
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	acked := map[string]time.Time{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 6 {
		clients.Go(func() {
			var c *client
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(15 * time.Millisecond):
				}
				if c == nil {
					c, _ = connect(w.instances[(n+k)%len(w.instances)].front(), "post", "key-1")
					continue
				}
				id := newID()
				r := c.query(id, fmt.Sprintf("WRITE item%d v%d", n, k), 2*time.Second)
				if r.code == "" && !r.lost {
					mu.Lock()
					acked[id] = time.Now()
					mu.Unlock()
				}
				w.note("client %d %s WRITE: %s%s lost %v", n, id, r.digest, r.code, r.lost)
				if r.lost {
					_ = c.conn.Close()
					c = nil
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		p.crash()
		near.crash()
		w.note("%s and %s crash", p.id, near.id)
		time.AfterFunc(replicaDown, func() {
			near.start()
			w.note("%s starts again, without its log", near.id)
		})
		time.AfterFunc(primaryDown, func() {
			p.start()
			w.note("%s starts again", p.id)
		})
	}
	time.Sleep(12 * time.Second)
	close(stop)
	clients.Wait()
	g.mu.Lock()
	lead := g.leader()
	missing := 0
	if lead != nil {
		for id, at := range acked {
			if !lead.holds(id) {
				missing++
				w.note("%s was acknowledged at %.3f and isn't in the log of %s, which leads", id, at.Sub(w.began).Seconds(), lead.id)
			}
		}
	}
	g.mu.Unlock()
	switch {
	case len(acked) == 0 || lead == nil:
		w.finish(2, "nothing was acknowledged, or nobody leads")
	case missing > 0:
		w.finish(1, "LOST is broken: %d of %d acknowledged commits aren't in the log of the promoted backend %s", missing, len(acked), lead.id)
	}
	w.finish(0, "LOST held: %d acknowledged commits are in the log of %s, %d promotions", len(acked), lead.id, len(w.calls()))
}
