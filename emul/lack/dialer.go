package lack

import (
	"context"
	"sync/atomic"
	"syscall"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/io/pooler"
)

// Dialer is a dialer that opens no connection while Lacking is set. The fields must not be changed while
// it is in use, except through the methods of Lacking.
type Dialer struct {
	pooler.Dialer
	Lacking atomic.Bool
}

// Dial implements pooler.Dialer.
func (d *Dialer) Dial(ctx context.Context, server plan.Server, account model.AccountID) (pooler.Conn, error) {
	if d.Lacking.Load() {
		return nil, Error("socket", syscall.EMFILE)
	}
	return d.Dialer.Dial(ctx, server, account)
}
