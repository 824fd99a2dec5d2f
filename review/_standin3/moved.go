package main

import (
	"fmt"
	"time"
)

// route returns the fields of a route.
func route(name, host, kind, service string, staleness, timeout, target int, public bool) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "path_prefix": "/", "type": kind, "service": service, "timeout_ms": timeout, "target_latency_ms": target,
		"priority": 1, "max_attempts": 2, "public": public,
	}
	if staleness > 0 {
		r["max_staleness_ms"] = staleness
	}
	return r
}

// lacking returns the commits that a read had to see and didn't: those of its service that were acknowledged
// before a time, and are still in the log of the primary.
func (w *world) lacking(r run, before time.Time, of func(id string) bool) []commitment {
	kept := map[point]bool{}
	g := w.groups[r.service]
	g.mu.Lock()
	for _, b := range g.members {
		if b.primary {
			for _, c := range b.log {
				kept[c.point] = true
			}
		}
	}
	g.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []commitment
	for _, c := range w.commits[r.service] {
		acked, ok := w.acked[c.changes[0].id]
		if ok && kept[c.point] && acked.Before(before) && !r.held[c.point] && of(c.changes[0].id) {
			out = append(out, c)
		}
	}
	return out
}

// moved moves a session route to another service and back, while a session writes to both and then reads what
// it wrote first.
func moved(folder string) {
	w := newWorld(folder, "zone-a", "zone-b", "zone-c")
	const lag = 1500 * time.Millisecond
	w.newGroup("stock", 4, 16, 16, 4*time.Millisecond, lag)
	w.newGroup("orders", 4, 16, 16, 4*time.Millisecond, lag)
	for k, zone := range w.zones {
		w.addInstance(fmt.Sprintf("front-%d", k+1), zone)
	}
	routes := func(service string) []map[string]any {
		return []map[string]any{
			route("r-ledger", "ledger", "session", service, 2500, 800, 200, false),
			route("r-stock", "stock", "session", "stock", 2500, 800, 200, false),
		}
	}
	w.configure(routes("stock"), 200)
	w.startAll()
	// The usual traffic: each machine serves reads of the service.
	for k, i := range w.instances {
		go func() {
			c, err := w.connect(fmt.Sprintf("usual-%d", k), i, "stock", key)
			if err != nil {
				w.end(2, "no session: "+err.Error())
			}
			for {
				c.query("READ usual", 2*time.Second)
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	time.Sleep(3 * time.Second)
	stale, rounds := 0, 0
	for round := range 9 {
		w.configure(routes("stock"), 200)
		time.Sleep(3500 * time.Millisecond)
		c, err := w.connect(fmt.Sprintf("client-%d", round), w.instances[round%3], "ledger", key)
		if err != nil {
			w.end(2, "no session: "+err.Error())
		}
		item := fmt.Sprintf("i%d", round)
		first := c.query("WRITE "+item+" first", 2*time.Second)
		if w.trouble {
			w.configure(routes("orders"), 200)
		}
		time.Sleep(330 * time.Millisecond)
		second := c.query("WRITE "+item+" second", 2*time.Second)
		if w.trouble {
			w.configure(routes("stock"), 200)
		}
		time.Sleep(330 * time.Millisecond)
		var reads []reply
		for range 4 {
			reads = append(reads, c.query("READ "+item, 2*time.Second))
		}
		c.close()
		if first.code != "DONE" || second.code != "DONE" {
			continue
		}
		rounds++
		own := func(id string) bool { return id == first.id || id == second.id }
		lacks := false
		for _, read := range reads {
			w.mu.Lock()
			r, ran := w.reads[read.id]
			w.mu.Unlock()
			if !ran {
				continue
			}
			if missing := w.lacking(r, read.sent, own); len(missing) > 0 {
				lacks = true
				w.note("STALE: read %s ran at %s of %s on a log up to %s that lacks the session's own commit %s, acknowledged %d ms before the read was sent",
					read.id, r.backend, r.service, r.end, missing[0].point, read.sent.Sub(w.acked[missing[0].changes[0].id]).Milliseconds())
			}
		}
		if lacks {
			stale++
		}
	}
	switch {
	case rounds < 6:
		w.end(2, fmt.Sprintf("only %d rounds could be judged", rounds))
	case stale > 0:
		w.end(1, fmt.Sprintf("STALE broken in %d of %d rounds: a session read a log without its own acknowledged commit", stale, rounds))
	default:
		w.end(0, fmt.Sprintf("held in %d rounds", rounds))
	}
}
