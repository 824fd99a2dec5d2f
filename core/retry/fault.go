package retry

// Fault is the reason why a batch got no complete answer.
type Fault uint8

const (
	// FaultNotSent means that no byte of the batch was sent to the server.
	FaultNotSent Fault = iota + 1
	// FaultNotPrimary means that the server answered that it takes no writes. It has
	// rolled back what the batch did.
	FaultNotPrimary
	// FaultConnectionClosed means that the connection failed after some of the batch
	// was sent.
	FaultConnectionClosed
	// FaultCommitUnconfirmed means that the batch was answered, but that it was not
	// confirmed in time that a majority of the servers holds its commit in the
	// commit's own term.
	FaultCommitUnconfirmed
	// FaultReadUnconfirmed means that a read was answered by a primary that may have
	// been replaced before the read began.
	FaultReadUnconfirmed
	// FaultTimeout means that the unit's time limit passed while the server worked on
	// the batch.
	FaultTimeout
)
