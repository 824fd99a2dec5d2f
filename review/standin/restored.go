package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// revokeBound is revoke_ms of the settings.
	revokeBound = 5 * time.Second
	// restoreAfter is the time from the withdrawal of the key until the store comes back from a copy, awayFor
	// the time for which it is away before, and rewriteAfter the time until the operator has written again what
	// was lost.
	restoreAfter = 4 * time.Second
	awayFor      = 300 * time.Millisecond
	rewriteAfter = 5 * time.Second
	// addAfter is the time from the return of the store until a machine is added.
	addAfter = 3 * time.Second
)

// reads records which reads of a client a backend ran.
type reads struct {
	mu  sync.Mutex
	ran map[string]time.Time
}

func (r *reads) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran[id] = time.Now()
}

// restoredStore plays the loss of the change that withdrew a key, by a store that comes back from an older copy,
// while a machine is added. Without the disruption the machine is added and the store stays as it is.
func restoredStore(s *setting) (bool, error) {
	lag := 20 * time.Millisecond
	if err := s.startFleet(0, true, map[string]time.Duration{"zb": lag, "zc": lag}); err != nil {
		return false, err
	}
	ran := &reads{ran: map[string]time.Time{}}
	s.service.mu.Lock()
	s.service.ranRead = ran.add
	s.service.mu.Unlock()
	if served := s.readWith("key2", "before", s.fleet.instances...); served == 0 {
		return false, fmt.Errorf("key2 isn't accepted before its withdrawal")
	}
	older := s.store.copyContent()
	s.record.say("a copy of the store is made")
	time.Sleep(time.Second)
	s.store.set("op/config", configuration(8, "svc", 0))
	acknowledged := time.Now()
	s.record.say("version 8, without key2, is acknowledged")
	time.Sleep(restoreAfter - awayFor)
	if s.trouble {
		s.record.say("the store is away")
		s.store.setAway(true)
		time.Sleep(awayFor)
		s.store.restore(older)
		s.record.say("the store is back with the copy, in era 2")
		time.AfterFunc(100*time.Millisecond, s.service.publish)
		time.AfterFunc(rewriteAfter, func() {
			s.store.set("op/config", configuration(8, "svc", 0))
			s.record.say("the operator has written version 8 again")
		})
	}
	time.Sleep(addAfter)
	added, err := s.fleet.add("za", s.fleet.storeAddress, true, false)
	if err != nil {
		return false, err
	}
	if err := s.fleet.start(added); err != nil {
		return false, err
	}
	s.record.say("machine %s is added", added.name)
	for time.Since(acknowledged) < revokeBound+50*time.Millisecond {
		time.Sleep(10 * time.Millisecond)
	}
	s.record.say("revoke_ms has passed since the acknowledgement")
	end := acknowledged.Add(restoreAfter + rewriteAfter + time.Second)
	for n := 0; time.Now().Before(end); n++ {
		for _, i := range s.fleet.instances {
			if i.isReady() {
				s.readWith("key2", fmt.Sprintf("after%d", n), i)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if served := s.readWith("key1", "other", s.fleet.instances...); served != len(s.fleet.instances) {
		return false, fmt.Errorf("key1 is accepted by %d of %d instances at the end", served, len(s.fleet.instances))
	}
	ran.mu.Lock()
	defer ran.mu.Unlock()
	broken := 0
	for id, at := range ran.ran {
		if len(id) > 5 && id[:5] == "after" {
			broken++
			s.record.add("CONFIG: request %s, with key2, was sent and run %.3f s after the acknowledgement", id, at.Sub(acknowledged).Seconds())
		}
	}
	s.record.say("%d requests with the withdrawn key ran that were sent later than revoke_ms", broken)
	return broken == 0, nil
}

// readWith sends a read with a key to each instance, and returns the number of those that were served.
func (s *setting) readWith(key, name string, instances ...*instance) int {
	served := 0
	for _, i := range instances {
		id := name + "x" + i.name
		c, err := connect(i, "dbp", key)
		if err != nil {
			s.record.add("client with %s: %s refuses the session: %v", key, i.name, err)
			continue
		}
		s.record.add("client with %s: sends read %s to %s", key, id, i.name)
		a, err := c.query(id, "READ item1", 2*time.Second)
		s.record.add("client with %s: read %s is answered: code %q, rows %q, error %v", key, id, a.code, a.rows, err)
		if err == nil && a.ok() {
			served++
		}
		c.close()
	}
	return served
}
