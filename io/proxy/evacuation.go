package proxy

import (
	"context"
	"log/slog"
	"maps"

	"pomelofork/core/evac"
	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/trial"
	"pomelofork/io/view"
)

// evacuation returns what may be sent to servers in evacuated failure domains.
func (c *Config) evacuation() evac.Policy {
	return evac.Policy{
		Bound: c.EvacuationBound, PromotionsPerSecond: c.PromotionsPerSecond,
		AtOnce: c.Disabled.Has(trial.EvacuationSteps), Unpaced: c.Disabled.Has(trial.EvacuationPace),
	}
}

// evacuationDecoder returns the decoder of the platform's entries. It finds no evacuations if the
// settings give no bound.
func (c *Config) evacuationDecoder() view.Decoder {
	if c.EvacuationBound > 0 {
		return c.Decoder
	}
	return withoutEvacuations{c.Decoder, c.Log}
}

// withoutEvacuations is a decoder that finds no evacuations.
type withoutEvacuations struct {
	view.Decoder
	log *slog.Logger
}

// Evacuation implements view.Decoder.
func (d withoutEvacuations) Evacuation(key string) (model.Domain, bool) {
	if domain, ok := d.Decoder.Evacuation(key); ok {
		d.log.LogAttrs(context.Background(), slog.LevelWarn, "evacuation of a failure domain is passed over, since the settings give no bound for it", slog.String("domain", string(domain)))
	}
	return "", false
}

// removeEvacuated removes the evacuated failure domains, whose instances are not preferred for rights.
// If all are evacuated, it removes none.
func removeEvacuated(domains map[model.Domain]bool, s *view.State) {
	all := maps.Clone(domains)
	for domain := range s.Evacuations {
		delete(domains, domain)
	}
	if len(domains) == 0 {
		maps.Copy(domains, all)
	}
}

// monitoredBefore reports whether a service's primary is preferably monitored from the failure domain of
// server a instead of b: one that isn't evacuated, then that of a replica, then that of the lower ID.
func monitoredBefore(a, b plan.Server) bool {
	switch {
	case a.Evacuated() != b.Evacuated():
		return b.Evacuated()
	case a.Primary != b.Primary:
		return b.Primary
	default:
		return a.ID < b.ID
	}
}
