package plat

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"pomelofork/io/store/memkv"
)

// Config holds the settings of a stand-in.
type Config struct {
	// Seed starts the random source that chooses which answers get lost.
	Seed uint64
	// Now returns the present time, which ends leases. Nil means time.Now.
	Now func() time.Time
}

// Server is the stand-in's HTTP handler.
type Server struct {
	kv  *memkv.KV
	mux *http.ServeMux

	mu     sync.Mutex
	random *rand.Rand
	faults faults
}

// New returns a stand-in with an empty store and no faults.
func New(c Config) *Server {
	s := &Server{
		kv:     memkv.New(memkv.Config{Now: c.Now}),
		mux:    http.NewServeMux(),
		random: rand.New(rand.NewPCG(c.Seed, 0)),
	}
	s.route()
	return s
}

// KV returns the store behind the HTTP calls.
func (s *Server) KV() *memkv.KV { return s.kv }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// route lists the calls. Those of the platform pass the switches, those of the
// control do not.
func (s *Server) route() {
	calls := map[string]http.HandlerFunc{
		"GET /v1/kv/{key...}":       s.get,
		"GET /v1/kv":                s.list,
		"POST /v1/swap":             s.swap,
		"GET /v1/watch":             s.watch,
		"GET /v1/instances":         s.instances,
		"POST /v1/lease":            s.grant,
		"POST /v1/lease/{id}/renew": s.renew,
		"DELETE /v1/lease/{id}":     s.drop,
	}
	for pattern, call := range calls {
		s.mux.Handle(pattern, s.faulty(call))
	}
	s.mux.HandleFunc("POST /control/faults", bounded(s.setFaults))
	s.mux.HandleFunc("PUT /control/instances", bounded(s.setInstances))
	s.mux.HandleFunc("GET /control/calls", s.calls)
}
