package peer

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"pomelofork/core/lease"
	"pomelofork/core/member"
	"pomelofork/io/event"
)

// sameMargin is the divisor of the largest difference between the rates of two clocks.
const sameMargin = 10

// idleLink is the time without a call after which a link is closed. In a large fleet an
// instance talks to few others all the time and to many now and then.
const idleLink = 30 * time.Second

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
	members := f.keeper.Asked()
	for _, m := range members {
		wanted[m.PeerAddress] = true
	}
	if len(members) == 0 {
		targets = f.seeds(wanted)
	}
	f.links.keep(wanted, f.config.Now().Add(-idleLink))
	delete(wanted, f.self.PeerAddress)
	for _, m := range f.roll.Contacts(f.config.Now(), f.keeper.Epoch(), members) {
		if wanted[m.PeerAddress] {
			targets = append(targets, m)
			delete(wanted, m.PeerAddress)
		}
	}
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
	if answer.Digest != nil {
		f.digested(now, asked, answer)
	}
	return answer.Epoch > f.keeper.Epoch()
}

// digested takes in what a peer has heard of the other members.
func (f *Fleet) digested(now, asked time.Time, answer *Greeting) {
	sameAsOf := asked.Add(-f.sameAge() - f.sameAge()/sameMargin)
	f.keeper.HeardDigest(now, asked, *answer.Digest, func(i int, m Member, asOf time.Time) {
		f.roll.Heard(asOf, m.Instance, m.Incarnation)
		if i/8 < len(answer.Same) && answer.Same[i/8]>>(i%8)&1 == 1 {
			f.roll.Runs(m.Instance, m.Incarnation, answer.Version, sameAsOf)
		}
	})
}

// sameAge is the age up to which a peer tells which members it saw with its own
// configuration version.
func (f *Fleet) sameAge() time.Duration { return f.config.Timing.Lease.Hold / 2 }

// answer returns the answer to a heartbeat. In a large fleet it tells what was heard of
// the others, if the asker can make use of it.
func (f *Fleet) answer(ask *Greeting) Greeting {
	g := f.greeting()
	f.mu.Lock()
	defer f.mu.Unlock()
	members := f.keeper.Members()
	if len(members) <= member.MeshLimit || ask.Epoch != g.Epoch || f.keeper.Epoch() != g.Epoch {
		return g
	}
	now := f.config.Now()
	digest := f.keeper.Digest(now)
	g.Digest = &digest
	g.Same = f.roll.SameVersion(now, members, g.Version, f.sameAge())
	return g
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
