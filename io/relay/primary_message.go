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

func (m *EndorseRequest) encode(w *writer) { w.text(string(m.Service)) }

func (m *EndorseRequest) decode(r *reader) { m.Service = model.ServiceID(r.text()) }

func (m *EndorseResponse) encode(w *writer) {
	w.bool(m.Endorsed)
	w.uint(m.Epoch)
}

func (m *EndorseResponse) decode(r *reader) {
	m.Endorsed = r.bool()
	m.Epoch = r.uint()
}

func (m *ConfirmRequest) encode(w *writer) {
	w.text(string(m.Server))
	w.bool(m.Probe)
}

func (m *ConfirmRequest) decode(r *reader) {
	m.Server = model.ServerID(r.text())
	m.Probe = r.bool()
}

func (m *ConfirmResponse) encode(w *writer) {
	w.bool(m.Confirmed)
	w.int(int64(m.Age))
}

func (m *ConfirmResponse) decode(r *reader) {
	m.Confirmed = r.bool()
	m.Age = time.Duration(r.int())
}

func (m *WithdrawRequest) encode(w *writer) {
	w.text(string(m.Service))
	w.uint(m.Epoch)
}

func (m *WithdrawRequest) decode(r *reader) {
	m.Service = model.ServiceID(r.text())
	m.Epoch = r.uint()
}

func (*WithdrawResponse) encode(*writer) {}

func (*WithdrawResponse) decode(*reader) {}
