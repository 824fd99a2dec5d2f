package node

import (
	"net/http"
	"time"
)

// adminReadTimeout bounds the time to read the head of an operator's request.
const adminReadTimeout = 5 * time.Second

// startAdmin answers the balancer's probe and the operators.
func (n *Node) startAdmin() {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.Handle("GET /debug/vars", n.vars())
	n.admin = &http.Server{Handler: mux, ReadHeaderTimeout: adminReadTimeout}
	n.wait.Go(func() { _ = n.admin.Serve(n.config.Admin) })
}
