package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playStop stops one of two instances by SIGTERM while clients run transactions of twelve statements there, with
// no pauses to speak of. It checks LOST: no statement that was sent later than 3 s after the signal, and was
// passed on to a backend, may lose its answer.
func playStop(w *world) {
	const (
		work       = 550 * time.Millisecond
		statements = 11
		timeLimit  = 8 * time.Second
		grace      = 6 * time.Second
		clients    = 8
		// travel is the time from a client to an instance, as on the sheets.
		travel = time.Millisecond
	)
	g := newGroup(w, "ledger", 0, 2*clients, work, "zone-a", "zone-b", "zone-c")
	w.groups["ledger"] = g
	w.configure([]map[string]any{{"name": "r-post", "host": "post", "path_prefix": "/", "type": "primary", "timeout_ms": 2000, "target_latency_ms": 1500, "priority": 1, "service": "ledger", "public": false}},
		[]map[string]any{{"name": "ledger", "max_connections": 40, "sync_replicas": 0}},
		[]map[string]any{{"name": "tenant1", "api_keys": []string{"key-1"}, "rate_per_s": 200, "burst": 200}})
	var mu sync.Mutex
	arrived := map[string]time.Time{}
	w.arrivedHook = func(_ *backend, id, _ string, _ *session) {
		mu.Lock()
		defer mu.Unlock()
		arrived[id] = time.Now()
	}
	w.addInstance("front-a", "zone-a", false)
	stopped := w.addInstance("front-b", "zone-b", false)
	w.awaitReady()

	var signalled time.Time
	var broken, aborted, done int
	var running sync.WaitGroup
	began := time.Now()
	play := func(n int) {
		c, err := connect(stopped.front(), "post", "key-1")
		if err != nil {
			w.note("client %d isn't accepted: %v", n, err)
			return
		}
		defer func() { _ = c.conn.Close() }()
		start := time.Now()
		for k := range statements + 2 {
			id, text := newID(), fmt.Sprintf("WRITE item%d v%d", n, k)
			switch k {
			case 0:
				text = "BEGIN"
			case statements + 1:
				text = "COMMIT"
			}
			time.Sleep(travel)
			sent := time.Now()
			r := c.query(id, text, timeLimit-sent.Sub(start))
			time.Sleep(travel)
			mu.Lock()
			at, passedOn := arrived[id]
			ended := time.Now()
			line := fmt.Sprintf("client %d %s %s sent %.3f s after the start, at a backend %v, answer %q lost %v", n, id, text, sent.Sub(began).Seconds(), passedOn, r.code+r.digest, r.lost)
			if w.trouble {
				line += fmt.Sprintf(", %.3f s after SIGTERM, ended %.3f s after it", sent.Sub(signalled).Seconds(), ended.Sub(signalled).Seconds())
			}
			late := w.trouble && sent.Sub(signalled) > 3*time.Second && ended.Sub(signalled) < grace+time.Second
			switch {
			case r.lost && passedOn && late && ended.Sub(start) < timeLimit && ended.Sub(sent) < 2*time.Second && at.After(sent):
				broken++
				line += " BROKEN"
			case r.lost && !w.trouble:
				broken++
				line += " BROKEN"
			case strings.HasPrefix(r.code, "ABORTED"):
				aborted++
			case k == statements+1 && r.code == "":
				done++
			}
			mu.Unlock()
			w.note("%s", line)
			if r.lost || r.code != "" {
				return
			}
		}
	}
	if w.trouble {
		signalled = time.Now().Add(100 * time.Millisecond)
	}
	for n := range clients {
		running.Go(func() { play(n) })
	}
	if w.trouble {
		time.Sleep(time.Until(signalled))
		signalled = time.Now()
		stopped.signal(syscall.SIGTERM)
		go func() {
			select {
			case <-stopped.ended:
				w.note("%s ended by itself %.3f s after SIGTERM", stopped.name, time.Since(signalled).Seconds())
			case <-time.After(grace):
				stopped.signal(syscall.SIGKILL)
			}
		}()
	}
	running.Wait()
	if broken > 0 {
		w.finish(1, "LOST is broken: %d statements that were sent later than 3 s after SIGTERM lost their answers; %d transactions ended, %d were aborted with an answer", broken, done, aborted)
	}
	if done+aborted == 0 {
		w.finish(2, "no transaction was answered")
	}
	w.finish(0, "LOST held: %d transactions ended, %d were aborted with an answer", done, aborted)
}
