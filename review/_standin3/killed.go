package main

import (
	"fmt"
	"sync"
	"time"
)

// gatewayOf returns the machine that has opened the most connections to a backend.
func (w *world) gatewayOf(b *backend) *instance {
	var best *instance
	for _, i := range w.instances {
		if l := w.link(b.address); best == nil || l.count(i.name) > l.count(best.name) {
			best = i
		}
	}
	return best
}

// transaction runs a transaction with one write and returns its last code.
func (c *client) transaction(item string) string {
	if r := c.query("BEGIN", 3*time.Second); r.code != "DONE" {
		return r.code
	}
	if r := c.query("WRITE "+item+" x", 3*time.Second); r.code != "DONE" {
		c.query("ROLLBACK", 3*time.Second)
		return r.code
	}
	return c.query("COMMIT", 3*time.Second).code
}

// load runs transactions, each in a session of its own, and returns how many were done and how many not.
func (w *world) load(name string, pause, length time.Duration, at func(n int) *instance) (done, failed int) {
	var mu sync.Mutex
	var running sync.WaitGroup
	n := 0
	for began := time.Now(); time.Since(began) < length; time.Sleep(pause) {
		n++
		running.Add(1)
		go func() {
			defer running.Done()
			code := "LOST"
			if c, err := w.connect(fmt.Sprintf("%s-%d", name, n), at(n), "post", key); err == nil {
				code = c.transaction(fmt.Sprintf("i%d", n))
				c.close()
			}
			mu.Lock()
			defer mu.Unlock()
			if code == "DONE" {
				done++
			} else {
				failed++
			}
		}()
	}
	running.Wait()
	return done, failed
}

// killed kills one machine while transactions of its clients wait for the primary, and then sends a light load
// of transactions through the others.
func killed(folder string) {
	w := newWorld(folder, "zone-a", "zone-b", "zone-c")
	g := w.newGroup("stock", 2, 16, 16, 12*time.Millisecond, 60*time.Millisecond)
	for k, zone := range w.zones {
		w.addInstance(fmt.Sprintf("front-%d", k+1), zone)
	}
	w.configure([]map[string]any{route("r-post", "post", "primary", "stock", 0, 2000, 1200, false)}, 200)
	w.startAll()
	primary := g.members[0]
	any := func(n int) *instance { return w.instances[n%3] }
	done, failed := w.load("before", 100*time.Millisecond, 4*time.Second, any)
	w.note("before: %d transactions done, %d not", done, failed)
	gateway := w.gatewayOf(primary)
	var entry *instance
	for _, i := range w.instances {
		if i != gateway {
			entry = i
		}
	}
	w.note("%s has the connections to the primary, %s gets the burst", gateway.name, entry.name)
	// A burst of one tenant, within its rate and burst.
	const burst = 60
	var sessions []*client
	for n := range burst {
		c, err := w.connect(fmt.Sprintf("burst-%d", n), entry, "post", key)
		if err != nil {
			w.end(2, "no session: "+err.Error())
		}
		sessions = append(sessions, c)
	}
	var running sync.WaitGroup
	for n, c := range sessions {
		running.Add(1)
		go func() {
			defer running.Done()
			c.transaction(fmt.Sprintf("b%d", n))
			c.close()
		}()
	}
	time.Sleep(120 * time.Millisecond)
	if w.trouble {
		entry.kill()
		time.AfterFunc(time.Second, entry.start)
	}
	running.Wait()
	time.Sleep(8 * time.Second)
	g.mu.Lock()
	open := len(primary.open)
	g.mu.Unlock()
	w.note("%d transactions are open at the primary, though no client has one", open)
	done, failed = w.load("after", 200*time.Millisecond, 30*time.Second, func(n int) *instance {
		if n%2 == 0 {
			return gateway
		}
		return any(n / 2)
	})
	g.mu.Lock()
	still := len(primary.open)
	g.mu.Unlock()
	w.note("after: %d transactions done, %d not; %d open at the primary", done, failed, still)
	if 10*failed > 6*(done+failed) {
		w.end(1, fmt.Sprintf("Gate broken: %d of %d transactions refused or failed from 9 s to 39 s after the kill; %d transactions stay open at the primary for clients that are gone", failed, done+failed, still))
	}
	w.end(0, fmt.Sprintf("held: %d of %d transactions refused or failed; %d stay open at the primary for clients that are gone", failed, done+failed, still))
}
