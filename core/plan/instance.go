package plan

import (
	"time"

	"pomelofork/core/model"
)

// Instance is one running instance of the fleet, as it is registered in the platform's
// store.
type Instance struct {
	// ID names the instance.
	ID model.InstanceID
	// Address is the host and port at which it listens for calls from its peers.
	Address string
	// Domain is the failure domain that it runs in.
	Domain model.Domain
	// Weight is its share of the processor.
	Weight float64
	// Bandwidth is the capacity of its link, in Mbit/s. Zero means that it isn't known.
	Bandwidth float64
	// Lease is the identifier of the store's lease under which the instance is
	// registered. The store removes the registration when the lease ends.
	Lease uint64
	// Revision is the store's revision of the registration.
	Revision uint64
	// LeaseLife is the lifetime of the lease. Zero means that it isn't known.
	LeaseLife time.Duration
	// PermitLife is the time after a confirmation for which the instance may use primaries. Zero means
	// epoch.PermitLife.
	PermitLife time.Duration
	// Level is what other instances may rely on in it, as package level describes.
	Level int
}
