package peer

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"pomelofork/core/lease"
	"pomelofork/io/event"
)

// beats sends heartbeats.
type beats struct {
	fleet *Fleet
	wake  chan struct{}

	mu   sync.Mutex
	busy map[string]bool
}

// newBeats returns beats that has sent nothing.
func newBeats(f *Fleet) *beats {
	return &beats{fleet: f, wake: make(chan struct{}, 1), busy: map[string]bool{}}
}

// step sends the heartbeats that are due, and looks at what follows from answers.
func (b *beats) step() {
	f := b.fleet
	for _, target := range f.targets() {
		if !b.claim(target.PeerAddress) {
			continue
		}
		f.spawn(func() {
			defer b.free(target.PeerAddress)
			f.ping(target)
		})
	}
	f.watchAuthority()
	f.syncer.consider()
}

// claim reports whether no heartbeat to an address is under way, and notes one.
func (b *beats) claim(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.busy[address] {
		return false
	}
	b.busy[address] = true
	return true
}

// free notes that a heartbeat has ended.
func (b *beats) free(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.busy, address)
}

// targets returns whom to send a heartbeat now.
func (f *Fleet) targets() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var targets []Member
	wanted := map[string]bool{}
	for _, m := range f.keeper.Asked() {
		if wanted[m.PeerAddress] || m.PeerAddress == f.self.PeerAddress {
			continue
		}
		targets = append(targets, m)
		wanted[m.PeerAddress] = true
	}
	if len(targets) == 0 {
		targets = f.seeds(wanted)
	}
	f.links.keep(wanted)
	return targets
}

// seeds returns the addresses to ask while no other member is known, as after a start
// while the store is down. Who answers there is not known yet.
func (f *Fleet) seeds(wanted map[string]bool) []Member {
	var targets []Member
	for _, address := range f.config.Seeds {
		if wanted[address] || address == f.self.PeerAddress {
			continue
		}
		targets = append(targets, Member{PeerAddress: address})
		wanted[address] = true
	}
	return targets
}

// ping sends one heartbeat and takes the answer in.
func (f *Fleet) ping(target Member) {
	ctx, cancel := context.WithTimeout(f.ctx, f.config.Timing.Call)
	defer cancel()
	greeting := f.greeting()
	asked := f.config.Now()
	var answer Greeting
	if err := f.links.to(target.PeerAddress).call(ctx, "Ping", &greeting, &answer); err != nil {
		return
	}
	if f.answered(target, asked, &answer) {
		f.fetchRecord(target.PeerAddress)
	}
	if answer.Version > f.config.ConfigVersion() {
		f.spread.fetch(target.PeerAddress, answer.Version)
	}
}

// answered takes in what a peer said of itself. It returns whether the peer knows a
// newer epoch.
func (f *Fleet) answered(target Member, asked time.Time, answer *Greeting) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	if target.Instance != "" && answer.Instance != target.Instance {
		// One process listens on an address. Another instance answers there, so
		// the member's process has ended.
		f.keeper.Ended(now, target)
	}
	f.roll.Heard(now, answer.Instance, answer.Incarnation)
	f.roll.Runs(answer.Instance, answer.Incarnation, answer.Version, asked)
	if answer.Joining != nil {
		f.roll.Join(now, *answer.Joining)
	}
	f.keeper.Heard(now, lease.Answer{
		Instance: answer.Instance, Incarnation: answer.Incarnation, Epoch: answer.Epoch, Asked: asked,
	})
	return answer.Epoch > f.keeper.Epoch()
}

// greeting returns what this instance says of itself.
func (f *Fleet) greeting() Greeting {
	version := f.config.ConfigVersion()
	f.mu.Lock()
	defer f.mu.Unlock()
	g := Greeting{
		Instance: f.self.Instance, Incarnation: f.self.Incarnation,
		Epoch: f.keeper.Epoch(), Version: version,
	}
	if !f.keeper.Member() && !f.leaving {
		self := f.self
		g.Joining = &self
	}
	return g
}

// greeted takes in a heartbeat of another instance. What it says of its epoch is no
// evidence, because it isn't known how long the message was under way.
func (f *Fleet) greeted(ask *Greeting) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	f.roll.Heard(now, ask.Instance, ask.Incarnation)
	if ask.Joining != nil {
		f.roll.Join(now, *ask.Joining)
	}
	if ask.Epoch > f.keeper.Epoch() {
		kick(f.beats.wake)
	}
}

// fetchRecord asks a peer for its record of rights.
func (f *Fleet) fetchRecord(address string) {
	ctx, cancel := context.WithTimeout(f.ctx, f.config.Timing.Call)
	defer cancel()
	var answer RecordAnswer
	if err := f.links.to(address).call(ctx, "Record", &RecordAsk{Epoch: f.Epoch()}, &answer); err != nil {
		return
	}
	if answer.Text == "" {
		return
	}
	r, err := lease.ParseRecord(answer.Text)
	if err != nil {
		f.log(event.RightRecordBad, slog.String("peer", address), slog.String("error", err.Error()))
		return
	}
	f.learn(r)
}

// watchAuthority logs when authority is lost and when it is back.
func (f *Fleet) watchAuthority() {
	f.mu.Lock()
	defer f.mu.Unlock()
	has := f.keeper.Authority(f.config.Now())
	if has == f.authority {
		return
	}
	f.authority = has
	if has {
		f.log(event.RightAuthorityBack, slog.Uint64("epoch", f.keeper.Epoch()))
		return
	}
	f.log(event.RightAuthorityLost, slog.Uint64("epoch", f.keeper.Epoch()))
}
