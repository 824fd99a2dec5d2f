package peer

import (
	"context"
	"errors"
	"time"

	"pomelofork/core/model"
)

// Fleet is this instance's view of all instances and its part in their rights. Its
// methods may be called from several goroutines at once.
type Fleet struct{}

// NewFleet joins the fleet. It returns at once; rights follow when the store and the
// peers have answered.
func NewFleet(Config) (*Fleet, error) { return nil, errors.New("not yet written") }

// Take spends one token of the account. It returns nil, or a *model.Refusal at once.
func (f *Fleet) Take(context.Context, model.AccountID) error { return nil }

// Gateways returns the instances to use for a service now, in the order of rank.
func (f *Fleet) Gateways(model.ServiceID) []Member { return nil }

// Holds returns this instance's rank of the service, the number of ranks, and
// whether it may use them right now. The caller asks before and after each step
// that needs the right.
func (f *Fleet) Holds(model.ServiceID) (rank, of int, ok bool) { return 0, 0, false }

// Finishing reports whether work that was begun under a former rank may go on.
func (f *Fleet) Finishing(model.ServiceID) bool { return false }

// Members returns the members of the newest known record.
func (f *Fleet) Members() []Member { return nil }

// Confirmed returns the latest time as of which the store or more than half of the
// members knew no newer configuration than the one in force here.
func (f *Fleet) Confirmed() time.Time { return time.Time{} }

// Versions returns the configuration version in force at each member, as last heard.
func (f *Fleet) Versions() map[model.InstanceID]uint64 { return nil }

// Leave hands all rights over and waits until the successors have confirmed. New
// calls of Take still work until Close.
func (f *Fleet) Leave(context.Context) error { return nil }

// Close stops everything and waits for it. It hands nothing over.
func (f *Fleet) Close() {}
