package link

import (
	"context"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/io/match"
	"pomelofork/io/wire"
)

// errBatchTooLarge ends a connection on which a batch exceeds wire.MaxBatchBytes.
var errBatchTooLarge = errors.New("batch too large")

// reader reads requests ahead while a batch runs, to notice when the client closes
// the connection.
type reader struct {
	backend *pgproto3.Backend
	// requests delivers what was read. It is closed when reading has ended.
	requests chan wire.Batch
}

// newReader starts reading. Reading ends when the connection is closed, a request is
// invalid or ctx ends; then onEnd is called.
func newReader(ctx context.Context, backend *pgproto3.Backend, onEnd func()) *reader {
	r := &reader{backend: backend, requests: make(chan wire.Batch, 1)}
	go func() {
		defer close(r.requests)
		defer onEnd()
		for {
			next, err := r.next()
			if err != nil {
				return
			}
			select {
			case r.requests <- next:
			case <-ctx.Done():
				return
			}
		}
	}()
	return r
}

// next reads one batch. The announcement of a unit is a batch of one query.
func (r *reader) next() (wire.Batch, error) {
	var batch wire.Batch
	size := 0
	for {
		m, err := r.backend.Receive()
		if err != nil {
			return wire.Batch{}, err
		}
		copied, err := match.Clone(m)
		if err != nil {
			return wire.Batch{}, err
		}
		raw, err := copied.Encode(nil)
		if err != nil {
			return wire.Batch{}, err
		}
		if size += len(raw); size > wire.MaxBatchBytes {
			return wire.Batch{}, errBatchTooLarge
		}
		batch.Messages = append(batch.Messages, copied)
		switch copied.(type) {
		case *pgproto3.Query, *pgproto3.Sync:
			return batch, nil
		}
	}
}
