package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// residentMB returns the resident memory of a process, in MiB.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// playMemory has clients with long sessions read one item each, whose answer has some rows, and then rest. The
// platform kills a process that is over its memory limit and starts it again; the clients reconnect and read
// again. It checks the rule that the day has a fault if on two machines processes end by themselves three times.
func playMemory(w *world) {
	const (
		limitMB  = 284
		sessions = 120
		length   = 90 * time.Second
		// pause is the time between two reads of the whole deployment.
		pause       = 60 * time.Millisecond
		restartTime = 500 * time.Millisecond
	)
	// A row of the largest message, and one of the sheets' sizes.
	rows, rowBytes := 4, 1<<20-64
	if !w.trouble {
		rows, rowBytes = 1, 3000
	}
	w.rows = func(string) []string {
		out := make([]string, rows)
		for i := range out {
			out[i] = strings.Repeat("x", rowBytes)
		}
		return out
	}
	g := newGroup(w, "ledger", 0, 2, 4*time.Millisecond, "zone-a", "zone-b", "zone-c")
	w.groups["ledger"] = g
	w.configure([]map[string]any{{"name": "r-look", "host": "look", "path_prefix": "/", "type": "bounded", "timeout_ms": 1500, "target_latency_ms": 400, "priority": 1, "service": "ledger", "public": false, "max_staleness_ms": 1500}},
		[]map[string]any{{"name": "ledger", "max_connections": 16, "sync_replicas": 0}},
		[]map[string]any{{"name": "tenant1", "api_keys": []string{"key-1"}, "rate_per_s": 200, "burst": 200}})
	w.addInstance("front-a", "zone-a", false)
	w.addInstance("front-b", "zone-b", false)
	w.awaitReady()
	ingress := newIngress(w)
	stop := make(chan struct{})
	var running sync.WaitGroup
	var mu sync.Mutex
	ends := make([]int, len(w.instances))
	highest := make([]int, len(w.instances))
	for n, i := range w.instances {
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				mb := residentMB(i.cmd.Process.Pid)
				highest[n] = max(highest[n], mb)
				if mb <= limitMB {
					continue
				}
				mu.Lock()
				ends[n]++
				mu.Unlock()
				w.note("%s has %d MiB, over its limit of %d: the platform kills it", i.name, mb, limitMB)
				i.signal(syscall.SIGKILL)
				<-i.ended
				time.Sleep(restartTime)
				i.start()
			}
		})
	}
	// One read at a time, of the whole deployment.
	var turn sync.Mutex
	answered, cut := 0, 0
	for n := range sessions {
		running.Go(func() {
			for k := 0; ; k++ {
				i := ingress.choose(w.zones[n%2])
				var c *client
				if i != nil {
					c, _ = connect(i.front(), "look", "key-1")
				}
				if c != nil {
					turn.Lock()
					r := c.query(newID(), fmt.Sprintf("READ report%d", n), 6*time.Second)
					if r.code == "" && !r.lost {
						answered++
					} else if r.lost {
						cut++
					}
					time.Sleep(pause)
					turn.Unlock()
					w.note("client %d at %s: %d rows, %s%s lost %v", n, i.name, len(r.rows), r.digest, r.code, r.lost)
					// The session rests until it ends.
					_ = c.conn.SetDeadline(time.Now().Add(length))
					ended := make(chan struct{})
					go func() {
						_, _ = c.in.ReadByte()
						close(ended)
					}()
					select {
					case <-ended:
					case <-stop:
					}
					_ = c.conn.Close()
				}
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
				}
			}
		})
	}
	for began := time.Now(); time.Since(began) < length; time.Sleep(100 * time.Millisecond) {
		mu.Lock()
		broken := ends[0] >= 3 && ends[1] >= 3
		mu.Unlock()
		if broken {
			break
		}
	}
	close(stop)
	running.Wait()
	result := fmt.Sprintf("processes went over %d MiB %d and %d times (at most %d and %d MiB), %d reads answered one at a time, %d cut", limitMB, ends[0], ends[1], highest[0], highest[1], answered, cut)
	switch {
	case ends[0] >= 3 && ends[1] >= 3:
		w.finish(1, "Fault is broken: %s", result)
	case answered == 0:
		w.finish(2, "no read was answered")
	}
	w.finish(0, "Fault held: %s", result)
}
