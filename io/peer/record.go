package peer

import (
	"log/slog"
	"slices"
	"time"

	"pomelofork/core/lease"
	"pomelofork/io/event"
)

// applyRecord makes a record of rights the newest known one, unless it is not newer. It
// updates what depends on the record and logs it.
func (f *Fleet) applyRecord(r lease.Record) {
	services := f.serviceRights()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	before := f.leases.Epoch()
	if !f.leases.AddRecord(now, r) {
		return
	}
	f.tracker.StartTimeouts(now, r.Members)
	f.markPredecessorsEnded(now, r)
	f.issuers.RecordChanged(now, r.Epoch == before+1, services)
	f.log(event.RightRecordLearned, slog.Uint64("epoch", r.Epoch), slog.Int("members", len(r.Members)))
	if m, ok := r.Member(f.self.Instance); ok && m.Incarnation > f.self.Incarnation {
		f.log(event.RightIncarnationStale, slog.Uint64("incarnation", m.Incarnation))
	}
	signal(f.heartbeats.wake)
	signal(f.handovers.wake)
}

// markPredecessorsEnded records that earlier incarnations of this instance have ended, and
// so has any other instance listed with its peer address. One instance runs one process,
// and one process listens on an address.
func (f *Fleet) markPredecessorsEnded(now time.Time, r lease.Record) {
	for _, m := range slices.Concat(r.Members, r.Before) {
		sameName := m.Instance == f.self.Instance && m.Incarnation < f.self.Incarnation
		sameAddress := m.Instance != f.self.Instance && m.PeerAddress == f.self.PeerAddress
		if sameName || sameAddress {
			f.leases.MarkEnded(now, m)
		}
	}
}

// newerRecord returns the newest known record in its encoded form, or an empty text if it
// is not newer than epoch.
func (f *Fleet) newerRecord(epoch uint64) (string, error) {
	f.mu.Lock()
	r, ok := f.leases.Record()
	f.mu.Unlock()
	if !ok || r.Epoch <= epoch {
		return "", nil
	}
	return r.Encode()
}
