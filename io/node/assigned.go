package node

import (
	"pomelofork/core/conf"
	"pomelofork/core/model"
)

// assignments tells which services the record of rights gives to this instance.
type assignments interface {
	// Epoch returns the newest known epoch of rights.
	Epoch() uint64
	// Assigned reports whether the newest record gives a rank of the service to this
	// instance.
	Assigned(service model.ServiceID) bool
}

// assigned keeps the services that this instance has to look after, until the
// configuration or the epoch changes. Among 830 services two belong to an instance, and
// the loop that looks after them runs many times a second.
type assigned struct {
	config *conf.Config
	epoch  uint64
	kept   []conf.Service
}

// services returns the services that belong to this instance. It is called by one
// goroutine.
func (a *assigned) services(config *conf.Config, rights assignments) []conf.Service {
	epoch := rights.Epoch()
	if config == a.config && epoch == a.epoch {
		return a.kept
	}
	a.config, a.epoch, a.kept = config, epoch, nil
	for _, service := range config.Services() {
		if rights.Assigned(service.ID()) {
			a.kept = append(a.kept, service)
		}
	}
	return a.kept
}
