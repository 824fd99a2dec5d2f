package admin

import (
	"log/slog"
	"net/http"

	"pomelofork/io/event"
)

// maxBodyBytes limits the body of a request and, in the client, of a response. It is large
// enough for a document of the maximum size with every byte escaped.
const maxBodyBytes = 8 << 20

// Server is the HTTP handler of the administration API.
type Server struct {
	config Config
	mux    *http.ServeMux
}

// New returns a handler for the paths under /v1/.
func New(c Config) *Server {
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	s := &Server{config: c, mux: http.NewServeMux()}
	s.handle("GET /v1/config", s.getConfig)
	s.handle("GET /v1/fleet", s.getFleet)
	s.handle("GET /v1/changes/{id}", s.getChange)
	s.handle("POST /v1/changes", s.postChange)
	s.handle("/v1/", s.notFound)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// authenticatedRequest is a request that carries the token of an operator.
type authenticatedRequest struct {
	*http.Request
	operator string
}

// handle registers a handler for a pattern. Requests without the token of an operator are
// rejected before they reach it.
func (s *Server) handle(pattern string, serve func(http.ResponseWriter, authenticatedRequest)) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		name, ok := s.authenticate(r)
		if !ok {
			event.Log(r.Context(), s.config.Logger, event.OperatorRefused, slog.String("remote", r.RemoteAddr))
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, http.StatusUnauthorized, ErrorDetail{Code: codeUnauthorised, Message: "want the token of an operator"})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		serve(w, authenticatedRequest{Request: r, operator: name})
	})
}

// notFound responds to a path that the API doesn't have.
func (s *Server) notFound(w http.ResponseWriter, _ authenticatedRequest) {
	writeError(w, http.StatusNotFound, ErrorDetail{Code: codeNotFound, Message: "no such call"})
}
