package admin

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"pomelofork/core/conf"
)

// readTimeout limits the wait for the store when a client requests the configuration.
const readTimeout = time.Second

// The values of ConfigMessage.Source.
const (
	sourceStore    = "store"
	sourceInstance = "instance"
)

// newestConfig returns the stored configuration and its source. If the store doesn't
// answer, is empty, or holds an invalid or older configuration, it returns the one in force
// at this instance instead, which may be nil.
func (s *Server) newestConfig(ctx context.Context) (*conf.Config, string) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	current := s.config.Current()
	stored, _, err := s.load(ctx)
	if err != nil || stored == nil || (current != nil && stored.Version() < current.Version()) {
		return current, sourceInstance
	}
	s.offerConfig(stored)
	return stored, sourceStore
}

// offerConfig passes a configuration to Config.OnConfig. It does nothing if the
// configuration or OnConfig is nil.
func (s *Server) offerConfig(config *conf.Config) {
	if config != nil && s.config.OnConfig != nil {
		s.config.OnConfig(config)
	}
}

// getConfig responds with the configuration document.
func (s *Server) getConfig(w http.ResponseWriter, r authenticatedRequest) {
	config, source := s.newestConfig(r.Context())
	if config == nil {
		writeError(w, http.StatusNotFound, ErrorDetail{Code: codeNotFound, Message: "no configuration is known"})
		return
	}
	writeJSON(w, http.StatusOK, ConfigMessage{Source: source, Document: *config.Document()})
}

// getFleet responds with the version in force at each instance.
func (s *Server) getFleet(w http.ResponseWriter, _ authenticatedRequest) {
	message := FleetMessage{Instances: []InstanceMessage{}}
	if current := s.config.Current(); current != nil {
		message.Version = current.Version()
	}
	versions := s.config.Versions()
	for _, id := range slices.Sorted(maps.Keys(versions)) {
		message.Instances = append(message.Instances, InstanceMessage{ID: id, Version: versions[id]})
	}
	writeJSON(w, http.StatusOK, message)
}

// getChange responds with the record of a change and the instances at which it is in force.
func (s *Server) getChange(w http.ResponseWriter, r authenticatedRequest) {
	config, _ := s.newestConfig(r.Context())
	if config == nil {
		writeError(w, http.StatusNotFound, ErrorDetail{Code: codeNotFound, Message: "no configuration is known"})
		return
	}
	entry, ok := config.FindChange(r.PathValue("id"))
	if !ok {
		writeError(w, http.StatusNotFound, ErrorDetail{Code: codeNotFound, Message: "no such change is recorded", Version: config.Version()})
		return
	}
	versions := s.config.Versions()
	message := ChangeMessage{Change: entry, Instances: len(versions)}
	for _, id := range slices.Sorted(maps.Keys(versions)) {
		if versions[id] >= entry.Version {
			message.InForce++
		} else {
			message.Behind = append(message.Behind, id)
		}
	}
	writeJSON(w, http.StatusOK, message)
}
