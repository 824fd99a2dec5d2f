package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time that the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// item is one key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// txn is the body of POST /kv-txn.
type txn struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

// lease is a lease of the store.
type lease struct {
	ttl   time.Duration
	until time.Time
}

// store is the platform's metadata store.
type store struct {
	mu        sync.Mutex
	items     map[string]item
	events    []item
	revision  uint64
	leases    map[uint64]*lease
	lastLease uint64
	changed   chan struct{}
	// committed is called with the instance and the transaction after each commit, without the lock.
	// The answer is sent when it returns. It may be nil.
	committed func(instance string, t txn)
}

func newStore() *store {
	s := &store{items: map[string]item{}, leases: map[uint64]*lease{}, revision: 100, lastLease: 7000, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			for id, l := range s.leases {
				if time.Now().After(l.until) {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
		}
	}()
	return s
}

// record records an event and wakes the watches. The caller holds the lock.
func (s *store) record(i item) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key at the present revision. The caller holds the lock.
func (s *store) put(key string, value []byte, lease uint64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if former, ok := s.items[key]; ok {
		i.Created = former.Created
	}
	s.items[key] = i
	s.record(i)
}

// remove removes a key at the present revision. The caller holds the lock.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.record(item{Key: key, Revision: s.revision, Removed: true})
	}
}

// endLease ends a lease. The caller holds the lock.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].Lease == id {
			s.remove(key)
		}
	}
}

// Set writes a key as the operator or a backend does, and returns when that is acknowledged.
func (s *store) Set(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value, 0)
}

// Remove removes a key as the platform does.
func (s *store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
}

// commit makes a transaction. It returns the HTTP status and the revision.
func (s *store) commit(t txn) (int, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, 0
		}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, 0
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	return http.StatusOK, s.revision
}

// serve answers the calls of one instance. translate replaces an item by what the instance gets of it.
func (s *store) serve(listener net.Listener, instance string, translate func(item) item) {
	mux := http.NewServeMux()
	answer := func(w http.ResponseWriter, status int, body any) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
	mux.HandleFunc("GET /kv-range", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		s.mu.Lock()
		out := []item{}
		for _, key := range slices.Sorted(maps.Keys(s.items)) {
			if strings.HasPrefix(key, r.URL.Query().Get("path_prefix")) {
				out = append(out, translate(s.items[key]))
			}
		}
		revision := s.revision
		s.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{"items": out, "has_more": false, "store_revision": revision})
	})
	mux.HandleFunc("GET /kv-watch", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
		defer timer.Stop()
		for timedOut := false; ; {
			s.mu.Lock()
			out := []item{}
			for _, e := range s.events {
				if e.Revision > after && strings.HasPrefix(e.Key, q.Get("path_prefix")) {
					out = append(out, translate(e))
				}
			}
			revision, changed := s.revision, s.changed
			s.mu.Unlock()
			if len(out) > 0 || timedOut {
				time.Sleep(storeDelay)
				answer(w, http.StatusOK, map[string]any{"events": out, "store_revision": revision})
				return
			}
			select {
			case <-changed:
			case <-timer.C:
				timedOut = true
			case <-r.Context().Done():
				return
			}
		}
	})
	mux.HandleFunc("POST /kv-txn", func(w http.ResponseWriter, r *http.Request) {
		var t txn
		if json.NewDecoder(r.Body).Decode(&t) != nil {
			answer(w, http.StatusBadRequest, struct{}{})
			return
		}
		status, revision := s.commit(t)
		if status == http.StatusOK && s.committed != nil {
			s.committed(instance, t)
		}
		time.Sleep(storeDelay)
		answer(w, status, map[string]any{"revision": revision})
	})
	mux.HandleFunc("POST /kv-lease", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			answer(w, http.StatusBadRequest, struct{}{})
			return
		}
		s.mu.Lock()
		s.lastLease++
		id, ttl := s.lastLease, time.Duration(body.TTL)*time.Millisecond
		s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		time.Sleep(storeDelay)
		answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": body.TTL})
	})
	mux.HandleFunc("POST /kv-keep/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		status := http.StatusNotFound
		s.mu.Lock()
		if l := s.leases[id]; l != nil {
			l.until, status = time.Now().Add(l.ttl), http.StatusOK
		}
		s.mu.Unlock()
		time.Sleep(storeDelay)
		answer(w, status, struct{}{})
	})
	mux.HandleFunc("DELETE /kv-lease-end/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		status := http.StatusNotFound
		s.mu.Lock()
		if s.leases[id] != nil {
			s.endLease(id)
			status = http.StatusOK
		}
		s.mu.Unlock()
		time.Sleep(storeDelay)
		answer(w, status, struct{}{})
	})
	_ = http.Serve(listener, mux)
}
