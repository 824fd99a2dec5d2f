package retry

import "pomelofork/core/model"

// FailedAttempt describes one attempt at a batch that got no complete answer.
type FailedAttempt struct {
	Fault Fault
	// Access says whether the unit of work may write.
	Access model.Access
	// Idempotent says that requests of the route may be repeated.
	Idempotent bool
	// RequestID says that the request has an id, so that its outcome is recorded
	// together with its effects.
	RequestID bool
	// TransactionOpen says that an earlier batch of the same transaction was
	// answered. Its effects were rolled back when the connection closed and cannot be
	// restored.
	TransactionOpen bool
	// PartlyAnswered says that a part of the answer was already passed on to the
	// caller.
	PartlyAnswered bool
	// Committed says that a COMMIT inside the unit is known to have succeeded.
	Committed bool
}
