package limit

import "time"

// Draw is a request that a token cache wants sent to the holder of a share's issuer.
type Draw struct {
	// Share is the index of the share.
	Share int
	// Request is the message to send.
	Request DrawRequest
	// Sent is the time from which the grant's validity counts.
	Sent time.Time
	// ReportOnly is true if the request only carries reports. The cache doesn't wait for
	// its response, which is not passed to HandleResponse or HandleFailure.
	ReportOnly bool
}

// shareState is what a token cache records about one share.
type shareState struct {
	rate Rate
	// reported is when reports were last sent.
	reported time.Time
	// retryAt is the time before which the issuer isn't asked.
	retryAt time.Time
	// inFlight is true if the request sent at sent has no response yet.
	inFlight bool
	sent     time.Time
}

// expectedLevel returns the level that the share's bucket should have by now, given the
// level observed last.
func (s *shareState) expectedLevel(now time.Time, observed observedLevel) MicroTokens {
	accrued := now.Sub(observed.at).Seconds() * float64(s.rate.perSecond)
	return MicroTokens(min(float64(observed.amount)+accrued, float64(s.rate.burst)))
}

// canAsk reports whether a request may be sent to the share's issuer now.
func (s *shareState) canAsk(now time.Time) bool { return !s.inFlight && !now.Before(s.retryAt) }
