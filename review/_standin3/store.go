package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is one key of the platform's store.
type entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl   time.Duration
	until time.Time
}

// store is the platform's store. It loses nothing and answers at once.
type store struct {
	mu       sync.Mutex
	revision uint64
	next     uint64
	entries  map[string]entry
	leases   map[uint64]*lease
	events   []entry
	changed  chan struct{}
}

func newStore() *store {
	s := &store{revision: 1, next: 100, entries: map[string]entry{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire(time.Now())
		}
	}()
	return s
}

// expire ends the leases whose time is over.
func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys. The lock is held.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.Lease == id {
			s.remove(key)
		}
	}
}

// remove removes a key. The lock is held.
func (s *store) remove(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	delete(s.entries, key)
	s.revision++
	s.announce(entry{Key: key, Revision: s.revision, Removed: true})
}

// announce wakes the watches. The lock is held.
func (s *store) announce(e entry) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// write sets a key at a revision. The lock is held.
func (s *store) write(key string, value []byte, lease, revision uint64) {
	former, ok := s.entries[key]
	e := entry{Key: key, Value: value, Revision: revision, Created: revision, Lease: lease}
	if ok {
		e.Created = former.Created
	}
	s.entries[key] = e
	s.announce(e)
}

// put sets a key, as the operator and the backends do.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, text, 0, s.revision)
}

// drop removes a key, as the platform does with the entry of a backend that is silent.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// reader is the store as one machine reaches it. translate changes what the machine reads.
type reader struct {
	store     *store
	translate func(entry) entry
}

// serve answers the calls of one machine.
func (s *store) serve(listener net.Listener, translate func(entry) entry) {
	r := &reader{s, translate}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", r.key)
	mux.HandleFunc("GET /kv-range", r.list)
	mux.HandleFunc("GET /kv-watch", r.watch)
	mux.HandleFunc("POST /kv-txn", r.commit)
	mux.HandleFunc("POST /kv-lease", r.grant)
	mux.HandleFunc("POST /kv-keep/{id}", r.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", r.end)
	_ = http.Serve(listener, mux)
}

// answer sends a status and a body.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (r *reader) key(w http.ResponseWriter, q *http.Request) {
	r.store.mu.Lock()
	e, ok := r.store.entries[q.URL.Query().Get("key")]
	revision := r.store.revision
	r.store.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"store_revision": revision})
		return
	}
	e = r.translate(e)
	answer(w, http.StatusOK, map[string]any{"key": e.Key, "value": e.Value, "revision": e.Revision, "created": e.Created, "lease": e.Lease, "store_revision": revision})
}

func (r *reader) list(w http.ResponseWriter, q *http.Request) {
	prefix, after := q.URL.Query().Get("path_prefix"), q.URL.Query().Get("after")
	r.store.mu.Lock()
	items := []entry{}
	for key, e := range r.store.entries {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, e)
		}
	}
	revision := r.store.revision
	r.store.mu.Unlock()
	slices.SortFunc(items, func(a, b entry) int { return strings.Compare(a.Key, b.Key) })
	for i := range items {
		items[i] = r.translate(items[i])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": revision})
}

func (r *reader) watch(w http.ResponseWriter, q *http.Request) {
	query := q.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		r.store.mu.Lock()
		events := []entry{}
		for _, e := range r.store.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("path_prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := r.store.revision, r.store.changed
		r.store.mu.Unlock()
		if len(events) > 0 || over {
			for i := range events {
				events[i] = r.translate(events[i])
			}
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-q.Context().Done():
			return
		}
	}
}

func (r *reader) commit(w http.ResponseWriter, q *http.Request) {
	var body struct {
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
	if json.NewDecoder(q.Body).Decode(&body) != nil || len(body.Expected)+len(body.Puts)+len(body.Deletes) > 32 {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s := r.store
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := []entry{}
	for _, e := range body.Expected {
		if s.entries[e.Key].Revision != e.Revision {
			failed = append(failed, s.entries[e.Key])
		}
	}
	if len(failed) > 0 {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": failed})
		return
	}
	for _, p := range body.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			answer(w, http.StatusForbidden, map[string]any{})
			return
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.revision++
	for _, p := range body.Puts {
		s.write(p.Key, p.Value, p.Lease, s.revision)
	}
	for _, key := range body.Deletes {
		if _, ok := s.entries[key]; ok {
			delete(s.entries, key)
			s.announce(entry{Key: key, Revision: s.revision, Removed: true})
		}
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (r *reader) grant(w http.ResponseWriter, q *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(q.Body).Decode(&body) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	ttl := time.Duration(min(max(body.TTL, 1000), 600_000)) * time.Millisecond
	s := r.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	s.leases[s.next] = &lease{ttl, time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.next, "ttl_ms": ttl.Milliseconds()})
}

func (r *reader) keep(w http.ResponseWriter, q *http.Request) {
	id, _ := strconv.ParseUint(q.PathValue("id"), 10, 64)
	s := r.store
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.until = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
}

func (r *reader) end(w http.ResponseWriter, q *http.Request) {
	id, _ := strconv.ParseUint(q.PathValue("id"), 10, 64)
	s := r.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.endLease(id)
	answer(w, http.StatusOK, map[string]any{})
}
