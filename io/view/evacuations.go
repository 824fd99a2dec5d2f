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

const (
	// confirmedWithin is the age of the last confirmation up to which an evacuation counts as begun when
	// this process learns of it. A follower in contact with its source confirms its copy more often.
	confirmedWithin = 2 * time.Second
	// unknownEvacuationAge is the age of an evacuation that the first content contains: it may have
	// begun any time before, so that its whole bound counts as over.
	unknownEvacuationAge = time.Hour
)

// Evacuation is the operator's request to keep all work away from the servers of a failure domain.
type Evacuation struct {
	// Since is when this process learned of it, or the earliest time at which it may have begun if that
	// was long before.
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
		known.Since = v.evacuatedSince(now, b)
		b.evacuated = append(b.evacuated, domain)
	}
	known.Revision = e.Revision
	b.setEvacuation(domain, known)
}

// evacuatedSince returns the time from which the bound of an evacuation counts that an update contains.
func (v *View) evacuatedSince(now time.Time, b *stateBuilder) time.Time {
	confirmed, ok := v.FreshAsOf()
	switch {
	case !ok || b.initial:
		return now.Add(-unknownEvacuationAge)
	case now.Sub(confirmed) > confirmedWithin:
		return confirmed
	default:
		return now
	}
}

// logEvacuations logs the evacuations that an update has begun. The servers in the same update have
// been applied, so that a domain without any is one that isn't known.
func (v *View) logEvacuations(ctx context.Context, b *stateBuilder) {
	for _, domain := range b.evacuated {
		e, ok := b.next.Evacuations[domain]
		if !ok {
			continue
		}
		message := "failure domain is evacuated"
		servers := countServers(b.next.Servers, domain)
		if servers == 0 {
			message = "failure domain is evacuated in which no server is known"
		}
		v.config.Log.LogAttrs(ctx, slog.LevelWarn, message, slog.String("domain", string(domain)), slog.Int("servers", servers), slog.Duration("age", b.now.Sub(e.Since)), slog.Uint64("revision", e.Revision))
	}
}

// endMissingEvacuation ends an evacuation whose entry the whole content of the store doesn't contain.
// After a restore of the store from an older copy it stays for a while, since the operator writes
// again what was lost.
func (v *View) endMissingEvacuation(ctx context.Context, b *stateBuilder, domain model.Domain) {
	if b.isFormer(b.next.Evacuations[domain].Revision) && !v.evacuationsSettled(b.now) {
		return
	}
	v.endEvacuation(ctx, b, domain)
}

// evacuationsSettled reports whether the last restore of the store is settled and the operator has had
// the time to write again what was lost.
func (v *View) evacuationsSettled(now time.Time) bool {
	r := &v.restore
	return r.seenAt.IsZero() || (r.settled && now.Sub(r.seenAt) >= rewriteGrace)
}

// settleEvacuations ends the evacuations that nobody has written again since the store was restored. It
// returns whether that is done, or a later era has begun.
func (v *View) settleEvacuations(ctx context.Context, now time.Time, era uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.restore.era != era {
		return true
	}
	if !v.evacuationsSettled(now) {
		return false
	}
	current := v.state.Load()
	b := newStateBuilder(now, current)
	b.era = era
	for domain, e := range current.Evacuations {
		if b.isFormer(e.Revision) {
			v.endEvacuation(ctx, b, domain)
		}
	}
	if b.next.ChangeCounts != current.ChangeCounts {
		v.state.Store(&b.next)
		v.config.Changed(b.next)
	}
	return true
}

// endEvacuation records that a failure domain has been returned.
func (v *View) endEvacuation(ctx context.Context, b *stateBuilder, domain model.Domain) {
	known, ok := b.next.Evacuations[domain]
	if !ok {
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
