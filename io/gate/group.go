package gate

import (
	"context"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/term"
)

// Group provides the state of the service's backend servers. It must be safe for
// concurrent use.
type Group interface {
	// Snapshot returns the latest snapshot of the group.
	Snapshot() term.Snapshot
	// Changed returns a channel that is closed when the snapshot changes next.
	Changed() <-chan struct{}
	// ReportError reports an error that a connection or a statement got from a server.
	ReportError(server model.ServerID, err error)
	// WaitCommitted returns nil once a majority of the group holds point durably and had
	// promised no newer term than the point's. It returns an error if ctx ends or a newer
	// term is seen first.
	WaitCommitted(ctx context.Context, point model.Point) error
	// WaitConfirmed returns nil once it is certain that the primary had not been replaced
	// by the time asOf. It returns an error if ctx ends or a newer term is seen first.
	WaitConfirmed(ctx context.Context, asOf time.Time) error
}
