package node

import (
	"net/http"
	"time"

	"pomelofork/io/admin"
)

// adminReadTimeout limits the time to read the header of an HTTP request.
const adminReadTimeout = 5 * time.Second

// startAdmin starts the HTTP server for the load balancer's readiness probe, the metrics
// and the administration API.
func (n *Node) startAdmin(operators []admin.Operator) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.Handle("GET /debug/vars", n.vars())
	mux.Handle("/v1/", n.api(operators))
	n.adminServer = &http.Server{Handler: mux, ReadHeaderTimeout: adminReadTimeout}
	n.wait.Go(func() { _ = n.adminServer.Serve(n.config.AdminListener) })
}

// api returns the handler of the administration API.
func (n *Node) api(operators []admin.Operator) http.Handler {
	return admin.New(admin.Config{
		Store: n.client, Current: n.tracker.current, Versions: n.fleet.ConfigVersions, OnConfig: n.offer,
		Operators: operators, Now: n.now, Logger: n.config.Logger,
	})
}
