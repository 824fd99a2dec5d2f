package plat

import (
	"net/http"
	"strconv"
	"time"

	"pomelofork/io/store"
)

// grantLease grants a lease and answers with its identifier.
func (s *Server) grantLease(w http.ResponseWriter, r *http.Request) {
	var m store.LeaseRequest
	if !decodeBody(w, r, &m) {
		return
	}
	if m.TTLMs <= 0 {
		writeError(w, http.StatusBadRequest, "bad_request", "ttl_ms: want more than 0")
		return
	}
	id, err := s.kv.GrantLease(r.Context(), time.Duration(m.TTLMs)*time.Millisecond)
	writeResult(w, store.LeaseGrant{LeaseID: id}, err)
}

// renewLease renews a lease for its whole time to live.
func (s *Server) renewLease(w http.ResponseWriter, r *http.Request) {
	if id, ok := leaseID(w, r); ok {
		writeResult(w, store.LeaseGrant{LeaseID: id}, s.kv.RenewLease(r.Context(), id))
	}
}

// endLease ends a lease before its time.
func (s *Server) endLease(w http.ResponseWriter, r *http.Request) {
	if id, ok := leaseID(w, r); ok {
		writeResult(w, store.LeaseGrant{LeaseID: id}, s.kv.EndLease(r.Context(), id))
	}
}

// leaseID returns the lease that the path of the request names. If it is malformed, it
// sends an error and returns false.
func leaseID(w http.ResponseWriter, r *http.Request) (store.LeaseID, bool) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", "lease: want a whole number")
		return 0, false
	}
	return store.LeaseID(id), true
}
