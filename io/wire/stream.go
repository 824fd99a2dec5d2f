package wire

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/core/model"
)

// MaxBatchBytes bounds the encoded messages of one batch. Entries accept only batches that
// stay within it after the names of statements were replaced and their texts added.
const MaxBatchBytes = 64 << 20

// Sink receives the answer of a backend server, one message per call. The message is
// valid only during the call.
type Sink interface {
	Message(m pgproto3.BackendMessage) error
}

// Batch is what a caller sends up to and including a Query or Sync message.
type Batch struct {
	// Messages share no memory with the buffers that they were read from, so they
	// may be sent again.
	Messages []pgproto3.FrontendMessage
}

// Result is the state of a stream after one batch.
type Result struct {
	// TxStatus is the transaction status of the final ReadyForQuery: 'I' for none,
	// 'T' for an open transaction and 'E' for a failed one.
	TxStatus byte
	// Point is the log point that the batch wrote or read at. It is zero if the
	// backend server reported none.
	Point model.Point
}

// Stream carries the batches of one unit of work from an entry to a gateway, and the
// answers back. It must be used by one goroutine only.
type Stream interface {
	// Run sends the batch and passes the whole answer to sink, except for the final
	// ReadyForQuery. If the error is a *model.Refusal, it says whether anything was
	// executed. After any error, the stream can run nothing more.
	Run(ctx context.Context, batch Batch, sink Sink) (Result, error)
	// Close ends the unit of work. An open transaction is rolled back.
	Close()
}

// Gateway opens streams for units of work. An error of Open is a *model.Refusal.
type Gateway interface {
	Open(ctx context.Context, unit Unit) (Stream, error)
}
