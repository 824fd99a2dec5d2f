package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, or its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	changed  chan struct{}
	leases   map[uint64]*storeLease
	last     uint64
	// era counts the restores. forgotten is the revision up to which there is no history.
	era       uint64
	forgotten uint64
	// away makes all calls fail.
	away bool
}

// storeCopy is a copy of the content of the store.
type storeCopy struct {
	revision, last uint64
	items          map[string]item
	// left are the leases with the time that they have left.
	left map[uint64]storeLease
	at   time.Time
}

// copyContent returns a copy of the present content.
func (s *store) copyContent() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{revision: s.revision, last: s.last, items: maps.Clone(s.items), left: map[uint64]storeLease{}, at: time.Now()}
	for id, l := range s.leases {
		c.left[id] = *l
	}
	return c
}

// setAway makes the store fail all calls, or answer again.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore replaces the content by that of a copy. Its leases go on with the time that they had left. Revisions
// and leases that were given out since are given out again.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.last, s.items, s.events = c.revision, c.last, maps.Clone(c.items), nil
	s.forgotten = c.revision
	s.era++
	s.leases = map[uint64]*storeLease{}
	for id, l := range c.left {
		s.leases[id] = &storeLease{l.ttl, time.Now().Add(l.until.Sub(c.at))}
	}
	s.away = false
	close(s.changed)
	s.changed = make(chan struct{})
}

type storeLease struct {
	ttl   time.Duration
	until time.Time
}

func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, changed: make(chan struct{}), leases: map[uint64]*storeLease{}, last: 1000, era: 1}
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			s.expire(time.Now())
		}
	}()
	return s
}

// expire removes the leases that have ended, with their keys.
func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, lease := range s.leases {
		if now.After(lease.until) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

// begin starts a change and returns its revision.
func (s *store) begin() uint64 {
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Revision: s.begin(), Removed: true})
}

func (s *store) put(key string, value []byte, lease, revision uint64) {
	created := revision
	if former, ok := s.items[key]; ok {
		created = former.Created
	}
	i := item{Key: key, Value: value, Revision: revision, Created: created, Lease: lease}
	s.items[key] = i
	s.events = append(s.events, i)
}

// set writes a key of the operator or of a backend server.
func (s *store) set(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0, s.begin())
}

// drop removes a key of the operator or of a backend server.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		i, ok := s.items[r.URL.Query().Get("key")]
		revision := s.revision
		s.mu.Unlock()
		if !ok {
			reply(w, 404, map[string]any{})
			return
		}
		reply(w, 200, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "store_revision": revision})
	})
	mux.HandleFunc("GET /kv-range", func(w http.ResponseWriter, r *http.Request) {
		prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
		s.mu.Lock()
		items := []item{}
		for key, i := range s.items {
			if strings.HasPrefix(key, prefix) && key > after {
				items = append(items, i)
			}
		}
		revision := s.revision
		s.mu.Unlock()
		sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
		reply(w, 200, map[string]any{"items": items, "has_more": false, "store_revision": revision})
	})
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			TTLMs int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			reply(w, 400, map[string]any{})
			return
		}
		ttl := time.Duration(max(body.TTLMs, 1000)) * time.Millisecond
		s.mu.Lock()
		s.last++
		id := s.last
		s.leases[id] = &storeLease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, 200, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
	})
	lease := func(do func(id uint64)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
			s.mu.Lock()
			l, ok := s.leases[id]
			if ok {
				l.until = time.Now().Add(l.ttl)
				do(id)
			}
			s.mu.Unlock()
			if !ok {
				reply(w, 404, map[string]any{})
				return
			}
			reply(w, 200, map[string]any{})
		}
	}
	mux.HandleFunc("POST /kv-keep/{id}", lease(func(uint64) {}))
	mux.HandleFunc("DELETE /kv-lease-end/{id}", lease(s.endLease))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		era, away := s.era, s.away
		s.mu.Unlock()
		if away {
			w.WriteHeader(503)
			return
		}
		if era > 0 {
			w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for timedOut := false; ; {
		s.mu.Lock()
		if s.away || s.era != era {
			// A watch that is waiting is cut.
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after < s.forgotten || after > s.revision {
			s.mu.Unlock()
			reply(w, 410, map[string]any{})
			return
		}
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("path_prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || timedOut {
			reply(w, 200, map[string]any{"events": events, "store_revision": revision})
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
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
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
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Expected)+len(body.Puts)+len(body.Deletes) > 32 {
		reply(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	own := func(key string) bool { return !strings.HasPrefix(key, "op/") && !strings.HasPrefix(key, "servers/") }
	items, conflict := []item{}, false
	for _, e := range body.Expected {
		conflict = conflict || s.items[e.Key].Revision != e.Revision
		if i, ok := s.items[e.Key]; ok {
			items = append(items, i)
		}
	}
	if conflict {
		reply(w, 412, map[string]any{"items": items})
		return
	}
	for _, p := range body.Puts {
		if !own(p.Key) {
			reply(w, 403, map[string]any{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, 404, map[string]any{})
			return
		}
	}
	for _, key := range body.Deletes {
		if !own(key) {
			reply(w, 403, map[string]any{})
			return
		}
	}
	revision := s.begin()
	for _, p := range body.Puts {
		s.put(p.Key, p.Value, p.Lease, revision)
	}
	for _, key := range body.Deletes {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.events = append(s.events, item{Key: key, Revision: revision, Removed: true})
		}
	}
	reply(w, 200, map[string]any{"revision": revision})
}
