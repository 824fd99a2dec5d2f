package peer

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"pomelofork/io/event"
	"pomelofork/io/pack"
)

// configSync passes newer configuration documents from the store and from peers to
// Config.OnConfig, and records when the store last confirmed the configuration.
type configSync struct {
	fleet  *Fleet
	packer packer

	mu sync.Mutex
	// fetching is true while a document is being fetched from a peer.
	fetching bool
	// version is the newest version seen in the store. confirmedAt is when the latest
	// query was sent to which the store reported nothing newer.
	version     uint64
	confirmedAt time.Time
}

func newConfigSync(f *Fleet) *configSync { return &configSync{fleet: f} }

// fetch requests the document of a version from a peer. It does nothing while another
// document is being fetched.
func (s *configSync) fetch(address string, version uint64) {
	if !s.beginFetch() {
		return
	}
	defer s.endFetch()
	f := s.fleet
	ctx, cancel := context.WithTimeout(f.ctx, f.config.Timing.CallTimeout)
	defer cancel()
	var response ConfigResponse
	if err := f.links.to(address).call(ctx, "Config", &ConfigRequest{Version: version}, &response); err != nil {
		return
	}
	if !response.Found || version <= f.config.ConfigVersion() {
		return
	}
	document, err := pack.Unpack(response.Packed)
	if err != nil {
		f.log(event.RightRecordUnreadable, slog.String("peer", address), slog.String("error", err.Error()))
		return
	}
	f.config.OnConfig(version, document)
}

// beginFetch returns false if a document is being fetched. Otherwise it records that one
// is.
func (s *configSync) beginFetch() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fetching {
		return false
	}
	s.fetching = true
	return true
}

func (s *configSync) endFetch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetching = false
}

// applyStored decodes the text that the store returned to a read sent at sentAt. It passes
// the document to Config.OnConfig if it is newer than the one in force.
func (s *configSync) applyStored(sentAt time.Time, text string) error {
	version, document, err := s.fleet.config.DecodeConfig(text)
	if err != nil {
		return err
	}
	if version > s.fleet.config.ConfigVersion() {
		s.fleet.config.OnConfig(version, document)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if version >= s.version && sentAt.After(s.confirmedAt) {
		s.version, s.confirmedAt = version, sentAt
	}
	return nil
}

// confirmUnchanged records that the store reported nothing newer to a query sent at sentAt.
func (s *configSync) confirmUnchanged(sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sentAt.After(s.confirmedAt) {
		s.confirmedAt = sentAt
	}
}

// storeConfirmedAt returns when the latest query was sent to which the store reported no
// newer configuration than version. It returns the zero time if the store has a newer one
// or version is zero.
func (s *configSync) storeConfirmedAt(version uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version > version || version == 0 {
		return time.Time{}
	}
	return s.confirmedAt
}
