// The program plays the cases of the review that a day of the bench can't show. It starts the program under
// test as separate processes and stands in for the platform, the backends and the clients.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// setting is what a case runs in.
type setting struct {
	record  *record
	fleet   *fleet
	store   *store
	service *service
	trouble bool
	// descriptors is max_fds of the settings, or zero if it isn't enforced.
	descriptors int
}

// cases are the cases by name. Each returns whether the rule held, or an error if it couldn't run.
var cases = map[string]func(*setting) (bool, error){
	"draining-replica": drainingReplica,
	"lapsed-replica":   lapsedReplica,
	"restored-store":   restoredStore,
	"lost-machines":    lostMachines,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/pomelofork", "program under test")
	path := flag.String("record", "record.txt", "record to write")
	keep := flag.String("logs", "", "folder to keep the logs in")
	flag.Parse()
	os.Exit(run(*name, *program, *path, *keep))
}

func run(name, program, path, keep string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Println("no such case:", name)
		return 2
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer r.close()
	dir := keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review"); err != nil {
			r.say("couldn't run: %v", err)
			return 2
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	s := &setting{record: r, store: newStore(), fleet: &fleet{program: program, dir: dir}, trouble: os.Getenv("TROUBLE") != "0"}
	defer s.fleet.stop()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		s.fleet.stop()
		os.Exit(2)
	}()
	held, err := play(s)
	switch {
	case err != nil:
		r.say("couldn't run: %v", err)
		return 2
	case !held:
		r.say("the rule was broken")
		return 1
	}
	r.say("the rule held")
	return 0
}

// serveHTTP serves a handler on a free port and returns its address.
func serveHTTP(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// startFleet starts the platform, a service in three zones and an instance in each.
func (s *setting) startFleet(sync int, fencing bool, lags map[string]time.Duration) error {
	zones := []string{"za", "zb", "zc"}
	var err error
	if s.service, err = newService("svc", sync, s.store, s.record, lags, zones); err != nil {
		return err
	}
	s.store.set("op/config", configuration(7, "svc", sync, "key2"))
	if s.fleet.storeAddress, err = serveHTTP(s.store.handler()); err != nil {
		return err
	}
	if s.fleet.cloudAddr, err = serveHTTP(s.service.cloud()); err != nil {
		return err
	}
	for _, zone := range zones {
		i, err := s.fleet.add(zone, s.fleet.storeAddress, fencing, true)
		if err != nil {
			return err
		}
		i.descriptors = s.descriptors
		if err := s.fleet.start(i); err != nil {
			return err
		}
	}
	if !s.fleet.awaitReady(15 * time.Second) {
		return fmt.Errorf("the instances didn't become ready")
	}
	time.Sleep(time.Second)
	s.record.add("all instances are ready")
	return nil
}
