package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// playStale partitions a zone from the others: an instance and the primary are in it, and clients still reach
// the instance, as long as the ingress forwards them there. It checks STALE on a bounded route that is public.
func playStale(w *world) {
	const (
		staleness = 500 * time.Millisecond
		cutFor    = 5 * time.Second
	)
	w.fenced, w.tolerated = true, 1
	g := newGroup(w, "ledger", 0, 4, 2*time.Millisecond, "zone-a", "zone-b", "zone-c")
	w.groups["ledger"] = g
	p := g.backends[0]
	for _, b := range g.backends {
		g.delay[b.id] = 60 * time.Millisecond
	}
	route := func(name, host, kind string, public bool) map[string]any {
		return map[string]any{"name": name, "host": host, "path_prefix": "/", "type": kind, "timeout_ms": 1500, "target_latency_ms": 400, "priority": 1, "service": "ledger", "public": public, "max_staleness_ms": staleness.Milliseconds()}
	}
	w.configure([]map[string]any{route("r-post", "post", "primary", false), route("r-look", "look", "bounded", true)},
		[]map[string]any{{"name": "ledger", "max_connections": 30, "sync_replicas": 0}},
		[]map[string]any{{"name": "tenant1", "api_keys": []string{"key-1"}, "rate_per_s": 500, "burst": 500}})
	for i, name := range []string{"front-a", "front-b", "front-c"} {
		w.addInstance(name, w.zones[i], true)
	}
	w.awaitReady()
	inside := func(name string) bool { return name == "front-a" || name == p.id }
	setCut := func(cut bool) {
		g.mu.Lock()
		g.severed = func(a, b *backend) bool { return cut && (a == p) != (b == p) }
		g.mu.Unlock()
		w.cutLinks(cut, func(from, to string) bool { return inside(from) != inside(to) })
		w.note("zone-a is cut off: %v", cut)
	}
	var mu sync.Mutex
	type ackedWrite struct {
		id string
		at time.Time
	}
	var acked []ackedWrite
	lacks := map[string][]string{}
	w.ranHook = func(b *backend, id, text string, end point) {
		if !strings.HasPrefix(text, "READ") {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		for _, a := range acked {
			if !b.holds(a.id) {
				lacks[id] = append(lacks[id], a.id)
			}
		}
		w.note("%s runs %s %s at the end %s of its log", b.id, id, text, end)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 2 {
		clients.Go(func() {
			var c *client
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				if c == nil {
					c, _ = connect(w.instances[1+n].front(), "post", "key-1")
					continue
				}
				id := newID()
				r := c.query(id, fmt.Sprintf("WRITE item%d v%d", n, k), 2*time.Second)
				if r.code == "" && !r.lost {
					mu.Lock()
					acked = append(acked, ackedWrite{id, time.Now()})
					mu.Unlock()
				}
				w.note("writer %d %s: %s%s lost %v", n, id, r.digest, r.code, r.lost)
				if r.lost {
					_ = c.conn.Close()
					c = nil
				}
			}
		})
	}
	broken, reads := 0, 0
	firsts := map[string]time.Time{}
	ingress := newIngress(w)
	clients.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(40 * time.Millisecond):
			}
			x := ingress.choose("zone-a")
			if x == nil {
				continue
			}
			c, err := connect(x.front(), "look", "")
			if err != nil {
				w.note("reader isn't accepted: %v", err)
				continue
			}
			first := time.Now()
			begin := c.query(newID(), "BEGIN READ", 2*time.Second)
			id := newID()
			r := c.query(id, "READ item0", 2*time.Second)
			commit := c.query(newID(), "COMMIT", 2*time.Second)
			_ = c.conn.Close()
			w.note("reader at %s: BEGIN READ %s%s, %s READ %v %s%s, COMMIT %s%s", x.name, begin.digest, begin.code, id, r.rows, r.digest, r.code, commit.digest, commit.code)
			if r.code != "" || r.lost {
				continue
			}
			mu.Lock()
			reads++
			firsts[id] = first
			mu.Unlock()
		}
	})
	time.Sleep(2 * time.Second)
	if w.trouble {
		setCut(true)
		time.Sleep(cutFor)
		setCut(false)
	} else {
		time.Sleep(cutFor)
	}
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	// Commits that the promotion rolled back don't count.
	kept := map[string]bool{}
	g.mu.Lock()
	for _, a := range acked {
		kept[a.id] = g.leader().holds(a.id)
	}
	g.mu.Unlock()
	for id, first := range firsts {
		for _, a := range acked {
			if kept[a.id] && slices.Contains(lacks[id], a.id) && a.at.Before(first.Add(-staleness)) {
				w.note("STALE: %s lacks %s, which was acknowledged %.3f s before the first byte of the transaction at %.3f", id, a.id, first.Sub(a.at).Seconds(), first.Sub(w.began).Seconds())
				broken++
				break
			}
		}
	}
	switch {
	case broken > 0:
		w.finish(1, "STALE is broken: reads lacked commits that were acknowledged more than %s before (%d of %d reads)", staleness, broken, reads)
	case reads == 0:
		w.finish(2, "no read was answered")
	}
	w.finish(0, "STALE held: %d reads, %d acknowledged commits", reads, len(acked))
}
