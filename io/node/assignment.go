package node

import (
	"pomelofork/core/conf"
	"pomelofork/core/model"
)

// assignmentSource reports which services are assigned to this instance in the newest known
// record of rights.
type assignmentSource interface {
	// Epoch returns the epoch of the newest known record.
	Epoch() uint64
	// Assigned reports whether that record assigns a gateway rank of the service to this
	// instance.
	Assigned(service model.ServiceID) bool
}

// assignedServices caches the services that are assigned to this instance, until the
// configuration or the epoch changes. The loop that reconciles them runs many times a
// second, and with 830 services only two are assigned to an instance, so that it would be
// wasteful to check all services each time.
type assignedServices struct {
	config *conf.Config
	epoch  uint64
	cached []conf.Service
}

// services returns the services that are assigned to this instance. It must not be called
// concurrently.
func (a *assignedServices) services(config *conf.Config, assignments assignmentSource) []conf.Service {
	epoch := assignments.Epoch()
	if config == a.config && epoch == a.epoch {
		return a.cached
	}
	a.config, a.epoch, a.cached = config, epoch, nil
	for _, service := range config.Services() {
		if assignments.Assigned(service.ID()) {
			a.cached = append(a.cached, service)
		}
	}
	return a.cached
}
