package plan

import (
	"time"

	"pomelofork/core/model"
)

// Server is a backend server as it registered itself in the platform's store.
type Server struct {
	// ID names the server.
	ID model.ServerID
	// Service is the service whose group the server belongs to.
	Service model.ServiceID
	// Address is the host and port at which the server listens.
	Address string
	// Domain is the failure domain that the server runs in.
	Domain model.Domain
	// Slots is the number of statements that the server runs concurrently.
	Slots int
	// Draining says that the server is shutting down and must get no new work.
	Draining bool
	// ReportsPrimary says that the server considers itself the primary.
	ReportsPrimary bool
	// Primary says that the server is to be used as the primary: it considers itself the
	// primary, and no other server is appointed.
	Primary bool
	// Epoch is the epoch of the service's appointment, as of which Primary was decided.
	Epoch uint64
	// Revision is the store's revision of the registration. Later registrations have
	// higher revisions.
	Revision uint64
	// Report orders this registration among those of the server.
	Report Report
	// DrainingSince is the time at which this process learned that the server is
	// draining.
	DrainingSince time.Time
	// ColdFor is the remaining time for which the server is cold, as of its registration. A negative
	// time stands for an invalid one.
	ColdFor time.Duration
	// ColdUntil is the time until which this process takes the server as cold. Zero means that it
	// isn't cold.
	ColdUntil time.Time
	// EvacuatedSince is the time from which the bound counts for the evacuation of the server's failure
	// domain: when this process learned of it, or earlier if it may have begun long before. Zero means
	// that the domain isn't evacuated.
	EvacuatedSince time.Time
}

// Evacuated reports whether the server's failure domain is evacuated.
func (s Server) Evacuated() bool { return !s.EvacuatedSince.IsZero() }

// Cold reports whether the server is cold.
func (s Server) Cold(now time.Time) bool { return now.Before(s.ColdUntil) }
