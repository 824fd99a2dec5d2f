package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// writers are clients that write one statement after the other.
type writers struct {
	s    *setting
	stop chan struct{}
	done sync.WaitGroup

	mu sync.Mutex
	// acked are the ids of the writes that were answered with success.
	acked []string
}

func (s *setting) startWriters(perInstance int) *writers {
	w := &writers{s: s, stop: make(chan struct{})}
	for n, i := range s.fleet.instances {
		for m := range perInstance {
			w.done.Add(1)
			go func() {
				defer w.done.Done()
				w.write(i, fmt.Sprintf("c%d%d", n, m))
			}()
		}
	}
	return w
}

func (w *writers) write(i *instance, name string) {
	var c *client
	for n := 0; ; n++ {
		select {
		case <-w.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = connect(i, "dbp", "key1"); err != nil {
				c = nil
				continue
			}
		}
		id := fmt.Sprintf("%sx%d", name, n)
		w.s.record.add("client %s: sends write %s to %s", name, id, i.name)
		a, err := c.query(id, fmt.Sprintf("WRITE item%s v%d", id, n), 2*time.Second)
		w.s.record.add("client %s: write %s is answered: code %q, digest %q, error %v", name, id, a.code, a.digest, err)
		if err == nil && a.ok() && a.digest != "" && a.digest != "-" {
			w.mu.Lock()
			w.acked = append(w.acked, id)
			w.mu.Unlock()
		}
		if err != nil {
			c.close()
			c = nil
		}
	}
}

func (w *writers) end() {
	close(w.stop)
	w.done.Wait()
}

// checkPromotions reports for each promotion which acknowledged writes the log of the promoted backend lacks.
// The returned function returns the number of promotions, and of acknowledged writes that were lost.
func (w *writers) checkPromotions() func() (promotions, lost int) {
	v := w.s.service
	promotions, lost := 0, 0
	v.mu.Lock()
	defer v.mu.Unlock()
	v.promoted = func(b *backend) {
		w.mu.Lock()
		defer w.mu.Unlock()
		promotions++
		missing := 0
		for _, id := range w.acked {
			if !b.holds(id) {
				missing++
				w.s.record.add("LOST: write %s was acknowledged, and the log of the promoted backend %s lacks it", id, b.id)
			}
		}
		lost += missing
		for _, other := range v.backends {
			w.s.record.add("at the promotion: %s received %s, down %t, draining %t, entry lapsed %t", other.id, other.end(), other.down, other.draining, other.hidden)
		}
		w.s.record.say("%s is promoted; of %d acknowledged writes its log lacks %d", b.id, len(w.acked), missing)
	}
	return func() (int, int) {
		v.mu.Lock()
		defer v.mu.Unlock()
		return promotions, lost
	}
}

// crashWithReplica plays a crash of the primary while one replica receives nothing. prepare does something to
// the other replica before.
func (s *setting) crashWithReplica(lead time.Duration, prepare func(replica *backend)) (bool, error) {
	lag := 20 * time.Millisecond
	if err := s.startFleet(1, true, map[string]time.Duration{"zb": lag, "zc": lag}); err != nil {
		return false, err
	}
	w := s.startWriters(4)
	defer w.end()
	result := w.checkPromotions()
	primary, first, second := s.service.backends[0], s.service.backends[1], s.service.backends[2]
	time.Sleep(2 * time.Second)
	if !s.trouble {
		time.Sleep(lead + 8*time.Second)
		w.mu.Lock()
		acked := len(w.acked)
		w.mu.Unlock()
		if promotions, lost := result(); promotions > 0 || lost > 0 || acked < 100 {
			return false, fmt.Errorf("without the disruption: %d promotions, %d lost, %d acknowledged", promotions, lost, acked)
		}
		return true, nil
	}
	// With ONLY=crash the other replica stays as it is, which shows that the crash alone does no harm.
	if os.Getenv("ONLY") != "crash" {
		prepare(first)
	}
	time.Sleep(lead)
	s.record.say("%s receives nothing from now on", second.id)
	second.setDeaf(true)
	time.Sleep(1500 * time.Millisecond)
	s.record.say("the primary %s crashes", primary.id)
	primary.crash()
	// A replica receives nothing for five seconds at most in all.
	for range 35 {
		time.Sleep(100 * time.Millisecond)
		if promotions, _ := result(); promotions > 0 {
			break
		}
	}
	second.setDeaf(false)
	time.Sleep(500 * time.Millisecond)
	promotions, lost := result()
	s.record.say("%d promotions, %d acknowledged writes lost", promotions, lost)
	return lost == 0, nil
}

// drainingReplica plays the crash while the other replica is to be replaced and drains.
func drainingReplica(s *setting) (bool, error) {
	return s.crashWithReplica(500*time.Millisecond, func(replica *backend) {
		s.record.say("%s reports that it is draining, and goes on to receive", replica.id)
		s.service.mu.Lock()
		defer s.service.mu.Unlock()
		replica.draining = true
		s.service.publishLocked()
	})
}

// storeCut is how long the replica doesn't reach the store in lapsedReplica.
const storeCut = 5 * time.Second

// lapsedReplica plays the crash while the other replica doesn't reach the store, so that its entry has expired.
func lapsedReplica(s *setting) (bool, error) {
	return s.crashWithReplica(entryLife-time.Second, func(replica *backend) {
		s.record.say("%s doesn't reach the store any more, and goes on to receive", replica.id)
		s.service.mu.Lock()
		replica.hidden = true
		s.service.mu.Unlock()
		time.AfterFunc(entryLife, func() {
			s.record.say("the entry of %s expires", replica.id)
			s.store.drop("servers/" + replica.id)
		})
		time.AfterFunc(storeCut, func() {
			s.record.say("%s reaches the store again and writes its entry", replica.id)
			s.service.mu.Lock()
			defer s.service.mu.Unlock()
			replica.hidden = false
			s.service.publishLocked()
		})
	})
}
