package view

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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
	// copiesPart is followed by the name of a service.
	copiesPart = "copies/"
)

// InstanceKeyBytes is the size of the key of an instance's registration, in bytes, without Config.OwnPrefix and
// the ID.
const InstanceKeyBytes = len(instancePart)

// instanceEntry is the value of an instance's registration in the store.
type instanceEntry struct {
	Address string  `json:"address"`
	Domain  string  `json:"domain"`
	Weight  float64 `json:"weight"`
	// BandwidthMbps is the capacity of its link, in Mbit/s.
	BandwidthMbps float64 `json:"bandwidth_mbps,omitempty"`
	// LeaseMs is the lifetime of the lease, in milliseconds.
	LeaseMs int64 `json:"lease_ms,omitempty"`
	// PermitMs is the time after a confirmation for which the instance may use primaries, in
	// milliseconds. Instances of older versions don't state it.
	PermitMs int64 `json:"permit_ms,omitempty"`
	// Level is the instance's level (package level). Instances of older versions don't state it.
	Level int `json:"level,omitempty"`
	// Era is the era of the store that the instance knew. An entry that says less than the store's
	// era was restored from an older copy.
	Era uint64 `json:"era,omitempty"`
}

// rightEntry is the value of a held right in the store.
type rightEntry struct {
	Instance string `json:"instance"`
	Era      uint64 `json:"era,omitempty"`
}

// appointmentEntry is the value of the entry that says which server is a service's primary.
type appointmentEntry struct {
	Server string `json:"server"`
	Era    uint64 `json:"era,omitempty"`
	// Epoch is set if the appointment was made in a former era and written again.
	Epoch uint64 `json:"epoch,omitempty"`
}

// Ranges of the numbers in a registration. The platform grants no lease for longer.
const (
	maxLife   = 10 * time.Minute
	maxWeight = 1e6
)

// Errors of entries.
var (
	errNoHolder = errors.New("no instance is named")
	errRange    = errors.New("a number is out of range")
)

// decode decodes a registration. Its lifetimes are waited for, so that one out of range is an error.
func (i *instanceEntry) decode(value []byte) error {
	if err := json.Unmarshal(value, i); err != nil {
		return err
	}
	if i.Weight < 0 || i.Weight > maxWeight || i.BandwidthMbps < 0 || i.Level < 0 ||
		i.LeaseMs < 0 || i.LeaseMs > maxLife.Milliseconds() || i.PermitMs < 0 || i.PermitMs > maxLife.Milliseconds() {
		return errRange
	}
	return nil
}

// AppointmentKey returns the store's key of the appointment of a service's primary.
func (v *View) AppointmentKey(service model.ServiceID) string {
	return v.config.OwnPrefix + appointmentPart + string(service)
}

// AppointmentValue encodes a new appointment of a server, or of none if the ID is empty. Like the
// other functions that encode entries it is given the era that the instance knows.
func AppointmentValue(server model.ServerID, era uint64) ([]byte, error) {
	return json.Marshal(appointmentEntry{Server: string(server), Era: era})
}

// FormerAppointmentValue encodes an appointment that was made in a former era, to write it again.
func FormerAppointmentValue(a plan.Appointment, era uint64) ([]byte, error) {
	return json.Marshal(appointmentEntry{Server: string(a.Server), Era: era, Epoch: a.Epoch})
}

// InstanceKey returns the store's key of an instance's registration.
func (v *View) InstanceKey(id model.InstanceID) string {
	return v.config.OwnPrefix + instancePart + string(id)
}

// RightKey returns the store's key of a right.
func (v *View) RightKey(name string) string { return v.config.OwnPrefix + rightPart + name }

// InstanceValue encodes the registration of an instance. The key holds its ID, and the store
// its lease.
func InstanceValue(i plan.Instance, era uint64) ([]byte, error) {
	return json.Marshal(instanceEntry{Address: i.Address, Domain: string(i.Domain), Weight: i.Weight, BandwidthMbps: i.Bandwidth, LeaseMs: i.LeaseLife.Milliseconds(), PermitMs: i.PermitLife.Milliseconds(), Level: i.Level, Era: era})
}

// RightValue encodes the value of a right with the given holder.
func RightValue(holder model.InstanceID, era uint64) ([]byte, error) {
	return json.Marshal(rightEntry{Instance: string(holder), Era: era})
}

// applyOwnEntry applies an entry that an instance wrote. It returns false for the platform's
// entries.
func (v *View) applyOwnEntry(ctx context.Context, b *stateBuilder, e store.Entry) bool {
	rest, ok := strings.CutPrefix(e.Key, v.config.OwnPrefix)
	if !ok {
		return false
	}
	if name, ok := strings.CutPrefix(rest, instancePart); ok {
		v.applyInstance(ctx, b, model.InstanceID(name), e)
		return true
	}
	if name, ok := strings.CutPrefix(rest, rightPart); ok {
		v.applyRight(ctx, b, name, e)
		return true
	}
	if name, ok := strings.CutPrefix(rest, copiesPart); ok && !e.Removed {
		v.applyCopies(ctx, b, model.ServiceID(name), e)
		return true
	}
	if name, ok := strings.CutPrefix(rest, appointmentPart); ok && !e.Removed {
		v.applyAppointment(ctx, b, model.ServiceID(name), e)
	}
	return true
}

// applyInstance applies the entry of an instance's registration. One that was restored from an older
// copy counts only if nothing is known from before.
func (v *View) applyInstance(ctx context.Context, b *stateBuilder, id model.InstanceID, e store.Entry) {
	if e.Removed {
		v.removeInstance(ctx, b, id)
		return
	}
	var entry instanceEntry
	if err := entry.decode(e.Value); err != nil {
		v.noteOdd(ctx, slog.LevelWarn, e, "cannot decode the registration of an instance", err, slog.String("instance", string(id)))
		return
	}
	revision, former := writtenAt(e, entry.Era)
	if b.hasFormer = b.hasFormer || former; former && !b.initial {
		return
	}
	next := plan.Instance{ID: id, Address: entry.Address, Domain: model.Domain(entry.Domain), Weight: entry.Weight, Bandwidth: entry.BandwidthMbps, Lease: uint64(e.Lease), Revision: revision, LeaseLife: time.Duration(entry.LeaseMs) * time.Millisecond, PermitLife: time.Duration(entry.PermitMs) * time.Millisecond, Level: entry.Level}
	if next == b.next.Instances[id] {
		return
	}
	b.setInstance(next)
	v.logChange(ctx, b, "instance registered", slog.String("instance", string(id)), slog.Uint64("revision", e.Revision))
}

// removeInstance removes the registration of an instance, unless that instance may not have noticed
// yet that the store lost it.
func (v *View) removeInstance(ctx context.Context, b *stateBuilder, id model.InstanceID) {
	if inst, ok := b.next.Instances[id]; ok && b.isFormer(inst.Revision) && !v.restore.settled {
		return
	}
	b.removeInstance(id)
	v.config.Log.LogAttrs(ctx, slog.LevelInfo, "instance registration removed", slog.String("instance", string(id)))
}

// applyRight applies the entry of a right. One that was restored from an older copy names no holder,
// unless nothing is known from before.
func (v *View) applyRight(ctx context.Context, b *stateBuilder, name string, e store.Entry) {
	if e.Removed {
		v.removeRight(b, name)
		return
	}
	var entry rightEntry
	err := json.Unmarshal(e.Value, &entry)
	if err == nil && entry.Instance == "" {
		err = errNoHolder
	}
	if err != nil {
		// Nobody holds it, so that it can be acquired.
		v.noteOdd(ctx, slog.LevelWarn, e, "cannot decode the holder of a right", err, slog.String("right", name))
		b.removeRight(name)
		b.setStaleRight(name, e.Revision)
		return
	}
	next := Right{Instance: model.InstanceID(entry.Instance), Revision: e.Revision, Lease: e.Lease}
	if revision, former := writtenAt(e, entry.Era); former {
		b.hasFormer = true
		next.Revision = revision
		if known, ok := b.next.Rights[name]; ok {
			next = known
		} else if !b.initial {
			b.setStaleRight(name, e.Revision)
			return
		}
		next.Restored, next.RestoredRevision = true, e.Revision
	}
	b.setStaleRight(name, 0)
	if next == b.next.Rights[name] {
		return
	}
	b.setRight(name, next)
	if !next.Restored {
		v.logChange(ctx, b, "holder of a right changed", slog.String("right", name), slog.String("instance", entry.Instance), slog.Uint64("revision", e.Revision))
	}
}

// removeRight removes a right. One that was held before the store was restored stays until its
// holder can't use it any more.
func (v *View) removeRight(b *stateBuilder, name string) {
	b.setStaleRight(name, 0)
	if right, ok := b.next.Rights[name]; ok && b.isFormer(right.Revision) && !v.restore.settled {
		right.Restored, right.RestoredRevision = true, 0
		b.setRight(name, right)
		return
	}
	b.removeRight(name)
}

// writtenAt returns the place in the store's history at which an entry was written whose writer knew
// the given era, and whether that is a former era: the entry was restored from an older copy, or the
// store was restored before the call reached it.
func writtenAt(e store.Entry, era uint64) (revision uint64, former bool) {
	if era >= store.Era(e.Revision) {
		return e.Revision, false
	}
	return store.Revision(era, store.Number(e.Revision)), true
}

// applyAppointment applies the entry that says which server is a service's primary. An entry
// older than the known one is passed over.
func (v *View) applyAppointment(ctx context.Context, b *stateBuilder, service model.ServiceID, e store.Entry) {
	var entry appointmentEntry
	err := json.Unmarshal(e.Value, &entry)
	if err == nil && entry.Epoch > e.Revision {
		err = fmt.Errorf("epoch %d is later than the entry", entry.Epoch)
	}
	if err != nil {
		v.noteOdd(ctx, slog.LevelWarn, e, "cannot decode the appointment of a primary", err, slog.String("service", string(service)))
		return
	}
	epoch, _ := writtenAt(e, entry.Era)
	if entry.Epoch != 0 {
		epoch = entry.Epoch
	}
	if epoch <= b.next.Appointments[service].Epoch {
		return
	}
	b.setAppointment(service, plan.Appointment{Server: model.ServerID(entry.Server), Epoch: epoch})
	v.logChange(ctx, b, "appointment of a primary changed", slog.String("service", string(service)), slog.String("server", entry.Server), slog.Uint64("epoch", epoch))
}
