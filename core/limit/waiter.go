package limit

import "time"

// waiter is a request that waits for a token.
type waiter struct {
	id      uint64
	arrived time.Time
	// asked records which shares' issuers have been asked for this request without
	// success.
	asked [Shares]bool
}

// askedAll reports whether every share's issuer has been asked for this request.
func (w *waiter) askedAll() bool {
	for _, asked := range w.asked {
		if !asked {
			return false
		}
	}
	return true
}

// Decision is the decision on one request.
type Decision struct {
	// ID is the request's number, as passed to Take.
	ID uint64
	// Granted is true if a token was spent, and false if the request is rejected.
	Granted bool
	// RetryAfter is the time after which a rejected request should find a token. Zero
	// means never.
	RetryAfter time.Duration
}
