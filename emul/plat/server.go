package plat

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"pomelofork/io/store/memkv"
)

// Config holds the settings of an emulator.
type Config struct {
	// Seed is the seed of the random choice of the answers that are lost.
	Seed uint64
	// Now returns the current time, by which leases expire. Nil means time.Now.
	Now func() time.Time
}

// Server is the HTTP handler of the emulator: the calls of the platform under /v1/ and the
// control interface under /control/.
type Server struct {
	kv  *memkv.KV
	mux *http.ServeMux

	mu     sync.Mutex
	random *rand.Rand
	faults faults
}

// New returns an emulator with an empty store and no faults.
func New(c Config) *Server {
	s := &Server{
		kv:     memkv.New(memkv.Config{Now: c.Now}),
		mux:    http.NewServeMux(),
		random: rand.New(rand.NewPCG(c.Seed, 0)),
	}
	s.registerRoutes()
	return s
}

// KV returns the store that the HTTP calls use, for direct access by tests.
func (s *Server) KV() *memkv.KV { return s.kv }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// registerRoutes registers the handlers. Faults apply to the calls of the platform, and not
// to the control calls.
func (s *Server) registerRoutes() {
	handlers := map[string]http.HandlerFunc{
		"GET /v1/kv/{key...}":       s.get,
		"GET /v1/kv":                s.list,
		"POST /v1/swap":             s.swap,
		"GET /v1/watch":             s.watch,
		"GET /v1/instances":         s.instances,
		"POST /v1/lease":            s.grantLease,
		"POST /v1/lease/{id}/renew": s.renewLease,
		"DELETE /v1/lease/{id}":     s.endLease,
	}
	for pattern, handle := range handlers {
		s.mux.Handle(pattern, s.withFaults(handle))
	}
	s.mux.HandleFunc("POST /control/faults", withBufferedBody(s.setFaults))
	s.mux.HandleFunc("PUT /control/instances", withBufferedBody(s.setInstances))
	s.mux.HandleFunc("GET /control/calls", s.calls)
}
