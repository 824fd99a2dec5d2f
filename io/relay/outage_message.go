package relay

import (
	"time"

	"pomelofork/core/model"
)

// OutageRequest asks whether a failure domain is believed to have failed.
type OutageRequest struct {
	// Domain is the failure domain.
	Domain model.Domain
}

// OutageResponse is the result of Outage.
type OutageResponse struct {
	// Suspected says that the peer suspects the domain by its own evidence.
	Suspected bool
}

// Outage asks the peer whether it suspects a failure domain.
func (p *Peer) Outage(now time.Time, request *OutageRequest, timeout time.Duration) (OutageResponse, error) {
	return call[OutageResponse](p, now, "Outage", request, timeout)
}

func (m *OutageRequest) fields(c *coder) { text(c, 1, &m.Domain) }

func (m *OutageResponse) fields(c *coder) { c.flag(1, &m.Suspected) }
