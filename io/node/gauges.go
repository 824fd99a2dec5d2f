package node

import (
	"net/http"

	"pomelofork/core/model"
)

// withGauges updates the gauges before each request to next, so that they cost nothing
// while nobody reads the metrics.
func (n *Node) withGauges(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.updateGauges()
		next.ServeHTTP(w, r)
	})
}

// updateGauges sets the gauges of rates, rights and terms. Without a configuration, it does
// nothing.
func (n *Node) updateGauges() {
	config := n.tracker.current()
	if config == nil {
		return
	}
	for _, account := range config.Accounts() {
		n.meter.SetRate(account.ID(), account.Rate(), float64(account.Burst()))
	}
	epoch := n.fleet.Epoch()
	for _, service := range config.Services() {
		_, _, held := n.fleet.Holds(service.ID())
		n.meter.SetRight("gateway/"+string(service.ID()), held, epoch)
		n.updateTermGauge(service.ID())
	}
}

// updateTermGauge sets the gauge of the term of a service, if this instance is a gateway of
// it.
func (n *Node) updateTermGauge(service model.ServiceID) {
	if gw := n.gateways.get(service); gw != nil {
		n.meter.SetTerm(service, gw.watcher.Snapshot().Term())
	}
}
