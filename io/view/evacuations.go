package view

import (
	"context"
	"log/slog"
	"maps"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/io/store"
)

// Evacuation is the operator's request to keep all work away from the servers of a failure domain.
type Evacuation struct {
	// Since is when this process learned of it.
	Since time.Time
	// Revision is the store's revision of its entry.
	Revision uint64
}

// applyEvacuation applies the entry of an evacuation. An entry that is written again doesn't restart
// the evacuation.
func (v *View) applyEvacuation(ctx context.Context, now time.Time, b *stateBuilder, domain model.Domain, e store.Entry) {
	if e.Removed {
		v.endEvacuation(ctx, b, domain)
		return
	}
	known, ok := b.next.Evacuations[domain]
	if !ok {
		known.Since = now
		servers := countServers(b.next.Servers, domain)
		v.config.Log.LogAttrs(ctx, slog.LevelWarn, "failure domain is evacuated", slog.String("domain", string(domain)), slog.Int("servers", servers), slog.Uint64("revision", e.Revision))
		if servers == 0 {
			v.config.Log.LogAttrs(ctx, slog.LevelWarn, "no server is known in the evacuated failure domain", slog.String("domain", string(domain)))
		}
	}
	known.Revision = e.Revision
	b.setEvacuation(domain, known)
}

// endEvacuation records that a failure domain has been returned. After a restore of the store the
// evacuation stays until the restore is settled, since the operator writes it again.
func (v *View) endEvacuation(ctx context.Context, b *stateBuilder, domain model.Domain) {
	known, ok := b.next.Evacuations[domain]
	if !ok || (b.isFormer(known.Revision) && !v.restore.settled) {
		return
	}
	v.config.Log.LogAttrs(ctx, slog.LevelWarn, "failure domain is returned", slog.String("domain", string(domain)), slog.Duration("after", b.now.Sub(known.Since)))
	b.removeEvacuation(domain)
}

// setEvacuation adds or replaces the evacuation of a failure domain.
func (b *stateBuilder) setEvacuation(domain model.Domain, e Evacuation) {
	if b.next.Evacuations = maps.Clone(b.next.Evacuations); b.next.Evacuations == nil {
		b.next.Evacuations = map[model.Domain]Evacuation{}
	}
	b.next.Evacuations[domain] = e
	b.next.Servers = writable(b.next.Servers, b.former.Servers, &b.next.ChangeCounts.Servers)
	b.updateEvacuated(domain, e.Since)
}

// removeEvacuation removes the evacuation of a failure domain.
func (b *stateBuilder) removeEvacuation(domain model.Domain) {
	b.next.Evacuations = maps.Clone(b.next.Evacuations)
	delete(b.next.Evacuations, domain)
	b.next.Servers = writable(b.next.Servers, b.former.Servers, &b.next.ChangeCounts.Servers)
	b.updateEvacuated(domain, time.Time{})
}

// updateEvacuated sets since when the servers of a failure domain are evacuated.
func (b *stateBuilder) updateEvacuated(domain model.Domain, since time.Time) {
	for _, s := range b.next.Servers {
		if s.Domain == domain && !s.EvacuatedSince.Equal(since) {
			s.EvacuatedSince = since
			b.setServer(s)
		}
	}
}

// countServers returns the number of servers in a failure domain.
func countServers(servers map[model.ServerID]plan.Server, domain model.Domain) int {
	n := 0
	for _, s := range servers {
		if s.Domain == domain {
			n++
		}
	}
	return n
}
