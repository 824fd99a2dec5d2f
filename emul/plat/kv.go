package plat

import (
	"net/http"
	"strconv"
	"time"

	"pomelofork/io/store"
)

// get answers with the item under a key.
func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	item, err := s.kv.Get(r.Context(), r.PathValue("key"))
	writeResult(w, item, err)
}

// list answers with the items whose keys have a prefix.
func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	items, err := s.kv.List(r.Context(), r.URL.Query().Get("prefix"))
	if items == nil {
		items = []store.Item{}
	}
	writeResult(w, store.ItemList{Items: items}, err)
}

// swap performs one compare-and-swap and answers with the new revision.
func (s *Server) swap(w http.ResponseWriter, r *http.Request) {
	var m store.Swap
	if !decodeBody(w, r, &m) {
		return
	}
	item, err := s.kv.Swap(r.Context(), m)
	writeResult(w, store.SwapResponse{Revision: item.Revision}, err)
}

// watch answers with an item as soon as it has changed after the given revision, or without
// content if the wait ends first.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after_revision"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", "after_revision: want a whole number")
		return
	}
	wait, err := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err != nil || wait < 0 {
		writeError(w, http.StatusBadRequest, "bad_request", "wait_ms: want a whole number")
		return
	}
	item, changed, err := s.kv.Watch(r.Context(), query.Get("key"), after, time.Duration(wait)*time.Millisecond)
	if err == nil && !changed {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	writeResult(w, item, err)
}

func (s *Server) instances(w http.ResponseWriter, r *http.Request) {
	instances, err := s.kv.Instances(r.Context())
	if instances == nil {
		instances = []store.ListedInstance{}
	}
	writeResult(w, store.InstanceList{Instances: instances}, err)
}
