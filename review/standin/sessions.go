package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxDescriptors is max_fds of a machine, standingSessions the number of sessions that stand open in the whole
	// deployment and usualSessions what one machine has of them usually.
	maxDescriptors   = 4300
	standingSessions = 4400
	usualSessions    = 50
	// recoveryBound is recovery_s of the settings.
	recoveryBound = 12 * time.Second
	// openingsAtOnce is the number of clients that open a session at the same time.
	openingsAtOnce = 100
)

// lostMachines plays a final fault after which only one machine is back: all sessions come to that one. Most of them
// end some seconds later. Without the disruption all machines are back, and each has its usual sessions.
func lostMachines(s *setting) (bool, error) {
	s.descriptors = maxDescriptors
	if err := s.startFleet(0, true, map[string]time.Duration{}); err != nil {
		return false, err
	}
	sent, served := s.operations("before", 2*time.Second)
	s.record.say("before the fault %d of %d requests are served", served, sent)
	if 4*served < 3*sent {
		return false, fmt.Errorf("too few requests are served before the fault")
	}
	for _, i := range s.fleet.instances {
		i.signal(syscall.SIGKILL)
		_ = i.cmd.Wait()
	}
	s.record.say("all processes are killed")
	time.Sleep(time.Second)
	back, sessions := s.fleet.instances, usualSessions
	if s.trouble {
		back, sessions = back[:1], standingSessions
	}
	lost := s.fleet.instances[len(back):]
	s.fleet.instances = back
	for _, i := range back {
		if err := s.fleet.start(i); err != nil {
			return false, err
		}
	}
	if !s.fleet.awaitReady(15 * time.Second) {
		return false, fmt.Errorf("the instances didn't become ready again")
	}
	began := time.Now()
	s.record.say("%d machines are back, %d are lost; %d sessions are opened at each", len(back), len(lost), sessions)
	var all []*client
	for _, i := range back {
		all = append(all, s.openSessions(i, sessions)...)
	}
	time.Sleep(time.Until(began.Add(6 * time.Second)))
	for _, c := range all {
		_, _ = fmt.Fprint(c.conn, "BYE\r\n")
		c.close()
	}
	s.record.say("the %d sessions that were accepted have ended", len(all))
	time.Sleep(time.Until(began.Add(recoveryBound + 500*time.Millisecond)))
	for _, i := range back {
		s.record.say("%s is ready: %t", i.name, i.isReady())
	}
	sent, served = s.operations("later", 6*time.Second)
	s.record.say("of the requests sent later than recovery_s after the machines were back, %d of %d are served", served, sent)
	return 4*served >= sent, nil
}

// openSessions opens sessions at an instance and returns those that were accepted within two seconds.
func (s *setting) openSessions(i *instance, count int) []*client {
	var mu sync.Mutex
	var out []*client
	var wait sync.WaitGroup
	refused := 0
	room := make(chan struct{}, openingsAtOnce)
	for range count {
		room <- struct{}{}
		wait.Add(1)
		go func() {
			defer wait.Done()
			c, err := connect(i, "dbs", "key1")
			<-room
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				out = append(out, c)
			} else if refused++; refused <= 5 {
				s.record.add("client: no session at %s after %d: %v", i.name, len(out), err)
			}
		}()
	}
	wait.Wait()
	s.record.say("%s accepts %d sessions, %d get no answer", i.name, len(out), refused)
	return out
}

// operations has clients open a session for a single read each, at the instances that are ready.
func (s *setting) operations(name string, during time.Duration) (sent, served int) {
	var ok atomic.Int64
	var wait sync.WaitGroup
	for began := time.Now(); time.Since(began) < during; time.Sleep(50 * time.Millisecond) {
		i := s.fleet.instances[sent%len(s.fleet.instances)]
		sent++
		wait.Add(1)
		go func(n int) {
			defer wait.Done()
			ok.Add(int64(s.readWith("key1", fmt.Sprintf("%s%d", name, n), i)))
		}(sent)
	}
	wait.Wait()
	return sent, int(ok.Load())
}
