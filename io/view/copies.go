package view

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/promo"
	"pomelofork/io/store"
)

// maxReplicas is by how many the synchronous replicas of a service may outnumber its recorded copies.
const maxReplicas = 1000

// copiesEntry is the value of the entry that names the servers which may hold acknowledged commits of
// a service. Instances of builds before it neither write nor read it.
type copiesEntry struct {
	Copies       []copyEntry `json:"copies"`
	SyncReplicas int         `json:"sync_replicas"`
	Settled      bool        `json:"settled,omitempty"`
	Era          uint64      `json:"era,omitempty"`
}

// copyEntry is one copy in a copiesEntry.
type copyEntry struct {
	Server  string `json:"server"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// StartedMs is when the server's process started, as a Unix time in milliseconds.
	StartedMs int64 `json:"started_ms"`
	Draining  bool  `json:"draining,omitempty"`
}

// CopiesKey returns the store's key of the copies of a service's log.
func (v *View) CopiesKey(service model.ServiceID) string {
	return v.config.OwnPrefix + copiesPart + string(service)
}

// CopiesValue encodes the copies of a service's log.
func CopiesValue(set promo.CopySet, era uint64) ([]byte, error) {
	entry := copiesEntry{SyncReplicas: set.SyncReplicas(), Settled: set.Settled(), Era: era}
	for _, c := range set.All() {
		entry.Copies = append(entry.Copies, copyEntry{Server: string(c.Server), Address: c.Address, Domain: string(c.Domain), StartedMs: c.StartedAt.UnixMilli(), Draining: c.Draining})
	}
	return json.Marshal(entry)
}

// applyCopies applies the entry that names the copies of a service's log. What was known before stays
// in the set if the entry was restored from an older copy of the store, which may lack a server. If
// nothing was known, the set isn't settled.
func (v *View) applyCopies(ctx context.Context, b *stateBuilder, service model.ServiceID, e store.Entry) {
	var entry copiesEntry
	err := json.Unmarshal(e.Value, &entry)
	if err == nil && (entry.SyncReplicas < 0 || entry.SyncReplicas > len(entry.Copies)+maxReplicas) {
		err = errRange
	}
	if err != nil {
		v.noteOdd(ctx, slog.LevelWarn, e, "cannot decode the copies of a service's log; what was known before stays", err, slog.String("service", string(service)))
		return
	}
	config := promo.CopySetConfig{SyncReplicas: entry.SyncReplicas, Settled: entry.Settled}
	for _, c := range entry.Copies {
		config.Copies = append(config.Copies, promo.Copy{Server: model.ServerID(c.Server), Address: c.Address, Domain: model.Domain(c.Domain), StartedAt: time.UnixMilli(c.StartedMs), Draining: c.Draining})
	}
	next, known := promo.NewCopySet(config), b.next.Copies[service]
	if _, former := writtenAt(e, entry.Era); former {
		if known.Empty() {
			config.Settled = false
			next = promo.NewCopySet(config)
		}
		next = next.Merge(known)
	}
	if next.Equal(known) {
		return
	}
	if b.next.Copies = maps.Clone(b.next.Copies); b.next.Copies == nil {
		b.next.Copies = map[model.ServiceID]promo.CopySet{}
	}
	b.next.Copies[service] = next
	v.logChange(ctx, b, "copies of a service's log changed", slog.String("service", string(service)), slog.Int("copies", len(next.All())),
		slog.Int("sync_replicas", next.SyncReplicas()), slog.Bool("settled", next.Settled()))
}
