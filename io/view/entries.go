package view

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/io/store"
)

// The parts of keys after Config.OwnPrefix.
const (
	instancePart = "instance/"
	rightPart    = "right/"
	// appointmentPart is followed by the name of a service.
	appointmentPart = "primary/"
)

// instanceEntry is the value of an instance's registration in the store.
type instanceEntry struct {
	Address string  `json:"address"`
	Domain  string  `json:"domain"`
	Weight  float64 `json:"weight"`
	// LeaseMs is the lifetime of the lease, in milliseconds.
	LeaseMs int64 `json:"lease_ms,omitempty"`
}

// rightEntry is the value of a held right in the store.
type rightEntry struct {
	Instance string `json:"instance"`
}

// appointmentEntry is the value of the entry that says which server is a service's primary.
type appointmentEntry struct {
	Server string `json:"server"`
}

// AppointmentKey returns the store's key of the appointment of a service's primary.
func (v *View) AppointmentKey(service model.ServiceID) string {
	return v.config.OwnPrefix + appointmentPart + string(service)
}

// AppointmentValue encodes the appointment of a server, or of none if the ID is empty.
func AppointmentValue(server model.ServerID) ([]byte, error) {
	return json.Marshal(appointmentEntry{Server: string(server)})
}

// InstanceKey returns the store's key of an instance's registration.
func (v *View) InstanceKey(id model.InstanceID) string {
	return v.config.OwnPrefix + instancePart + string(id)
}

// RightKey returns the store's key of a right.
func (v *View) RightKey(name string) string { return v.config.OwnPrefix + rightPart + name }

// InstanceValue encodes the registration of an instance. The key holds its ID, and the store
// its lease.
func InstanceValue(i plan.Instance) ([]byte, error) {
	return json.Marshal(instanceEntry{Address: i.Address, Domain: string(i.Domain), Weight: i.Weight, LeaseMs: i.LeaseLife.Milliseconds()})
}

// RightValue encodes the value of a right with the given holder.
func RightValue(holder model.InstanceID) ([]byte, error) {
	return json.Marshal(rightEntry{Instance: string(holder)})
}

// applyOwnEntry applies an entry that an instance wrote. It returns false for the platform's
// entries.
func (v *View) applyOwnEntry(ctx context.Context, b *stateBuilder, e store.Entry) bool {
	rest, ok := strings.CutPrefix(e.Key, v.config.OwnPrefix)
	if !ok {
		return false
	}
	if name, ok := strings.CutPrefix(rest, instancePart); ok {
		id := model.InstanceID(name)
		if e.Removed {
			b.removeInstance(id)
			v.config.Log.LogAttrs(ctx, slog.LevelInfo, "instance registration removed", slog.String("instance", name))
			return true
		}
		var entry instanceEntry
		if err := json.Unmarshal(e.Value, &entry); err != nil {
			v.config.Log.LogAttrs(ctx, slog.LevelWarn, "cannot decode the registration of an instance", slog.String("instance", name), slog.String("error", err.Error()))
			return true
		}
		next := plan.Instance{ID: id, Address: entry.Address, Domain: model.Domain(entry.Domain), Weight: entry.Weight, Lease: uint64(e.Lease), Revision: e.Revision, LeaseLife: time.Duration(entry.LeaseMs) * time.Millisecond}
		if next == b.next.Instances[id] {
			return true
		}
		b.setInstance(next)
		v.logChange(ctx, b, "instance registered", slog.String("instance", name), slog.Uint64("revision", e.Revision))
		return true
	}
	if name, ok := strings.CutPrefix(rest, rightPart); ok {
		if e.Removed {
			b.removeRight(name)
			return true
		}
		var entry rightEntry
		if err := json.Unmarshal(e.Value, &entry); err != nil {
			v.config.Log.LogAttrs(ctx, slog.LevelWarn, "cannot decode the holder of a right", slog.String("right", name), slog.String("error", err.Error()))
			return true
		}
		next := Right{Instance: model.InstanceID(entry.Instance), Revision: e.Revision, Lease: e.Lease}
		if next == b.next.Rights[name] {
			return true
		}
		b.setRight(name, next)
		v.logChange(ctx, b, "holder of a right changed", slog.String("right", name), slog.String("instance", entry.Instance), slog.Uint64("revision", e.Revision))
		return true
	}
	if name, ok := strings.CutPrefix(rest, appointmentPart); ok && !e.Removed {
		v.applyAppointment(ctx, b, model.ServiceID(name), e)
	}
	return true
}

// applyAppointment applies the entry that says which server is a service's primary. An entry
// older than the known one is passed over.
func (v *View) applyAppointment(ctx context.Context, b *stateBuilder, service model.ServiceID, e store.Entry) {
	var entry appointmentEntry
	if err := json.Unmarshal(e.Value, &entry); err != nil {
		v.config.Log.LogAttrs(ctx, slog.LevelWarn, "cannot decode the appointment of a primary", slog.String("service", string(service)), slog.String("error", err.Error()))
		return
	}
	if e.Revision <= b.next.Appointments[service].Epoch {
		return
	}
	b.setAppointment(service, plan.Appointment{Server: model.ServerID(entry.Server), Epoch: e.Revision})
	v.logChange(ctx, b, "appointment of a primary changed", slog.String("service", string(service)), slog.String("server", entry.Server), slog.Uint64("epoch", e.Revision))
}
