package relay

import (
	"time"

	"pomelofork/core/model"
)

// ConfirmRequest asks whether a server is known to be the primary of its service.
type ConfirmRequest struct {
	// Server is the server.
	Server model.ServerID
	// Probe asks the peer to probe the server if nothing has confirmed it for a while.
	Probe bool
}

// ConfirmResponse is the result of Confirm.
type ConfirmResponse struct {
	// Confirmed says that the peer knows when the server was the primary.
	Confirmed bool
	// Age is the time since then.
	Age time.Duration
}

// WithdrawRequest says that the appointment of a service's primary was withdrawn.
type WithdrawRequest struct {
	// Service is the service.
	Service model.ServiceID
	// Epoch is the epoch of the withdrawal. Work of lower epochs must not be passed on.
	Epoch uint64
}

// WithdrawResponse is the result of Withdraw: the peer passes on no such work any more.
type WithdrawResponse struct{}

// EndorseRequest asks the instance that monitors the primary of a service whether the appointment
// of the primary is in force.
type EndorseRequest struct {
	// Service is the service.
	Service model.ServiceID
}

// EndorseResponse is the result of Endorse.
type EndorseResponse struct {
	// Endorsed says that no appointment since Epoch was made or withdrawn when the peer answered.
	Endorsed bool
	// Epoch is the epoch of the appointment, or zero if there was none.
	Epoch uint64
}

func (m *EndorseRequest) fields(c *coder) { text(c, 1, &m.Service) }

func (m *EndorseResponse) fields(c *coder) {
	c.flag(1, &m.Endorsed)
	unsigned(c, 2, &m.Epoch)
}

func (m *ConfirmRequest) fields(c *coder) {
	text(c, 1, &m.Server)
	c.flag(2, &m.Probe)
}

func (m *ConfirmResponse) fields(c *coder) {
	c.flag(1, &m.Confirmed)
	signed(c, 2, &m.Age)
}

func (m *WithdrawRequest) fields(c *coder) {
	text(c, 1, &m.Service)
	unsigned(c, 2, &m.Epoch)
}

func (*WithdrawResponse) fields(*coder) {}
