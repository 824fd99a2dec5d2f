package view_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/emul/kvsim"
	"pomelofork/emul/seed"
	"pomelofork/io/clock"
	"pomelofork/io/store"
	"pomelofork/io/view"
)

func TestView(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "view", seed.Suite())
}

// decoder decodes the one byte under "config" as a version, and the text under "server/ID" as a
// state and the name of a service, and perhaps a third word as long as the number of the report.
// All servers are in the failure domain "d".
type decoder struct{}

func (decoder) Plan(e store.Entry) (*plan.Plan, bool, error) {
	if e.Key != "config" {
		return nil, false, nil
	}
	if len(e.Value) != 1 {
		return nil, true, errors.New("want one byte")
	}
	return plan.New(plan.Config{Version: uint64(e.Value[0])}), true, nil
}

func (decoder) Server(e store.Entry) (plan.Server, bool, error) {
	id, ok := strings.CutPrefix(e.Key, "server/")
	if string(e.Value) == "bad" {
		return plan.Server{}, ok, errors.New("bad entry")
	}
	state, rest, _ := strings.Cut(string(e.Value), " ")
	service, report, _ := strings.Cut(rest, " ")
	return plan.Server{Report: plan.Report{Number: uint64(len(report))}, ID: model.ServerID(id), Service: model.ServiceID(service), Domain: "d", Draining: state == "draining", Revision: e.Revision}, ok, nil
}

func (decoder) ServerID(key string) (model.ServerID, bool) {
	id, ok := strings.CutPrefix(key, "server/")
	return model.ServerID(id), ok
}

func (decoder) ServerKey(id model.ServerID) string { return "server/" + string(id) }

func (decoder) Evacuation(key string) (model.Domain, bool) {
	domain, ok := strings.CutPrefix(key, "evacuate/")
	return model.Domain(domain), ok
}

func (decoder) EvacuationKey(domain model.Domain) string { return "evacuate/" + string(domain) }

// start starts a view with the given sources, the preferred one first.
func start(sources ...view.Source) *view.View {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	return view.New(ctx, view.Config{
		OwnPrefix: "own/", Decoder: decoder{}, Sources: func(*view.State) []view.Source { return sources },
		Changed: func(view.State) {}, Log: slog.New(slog.DiscardHandler),
	})
}

// version returns a function that returns the version of the configuration that the view has in
// force, or zero.
func version(v *view.View) func() uint64 {
	return func() uint64 {
		if p := v.State().Plan; p != nil {
			return p.Version()
		}
		return 0
	}
}

// waitTimeout is the longest time that a test waits for an expected state.
const waitTimeout = 20 * time.Second

var _ = Describe("View", func() {
	var t *kvsim.Table
	var client *kvsim.Client
	var v *view.View
	BeforeEach(func() {
		t = kvsim.New()
		client = t.Client()
		t.Set("config", []byte{1})
		v = start(view.StoreSource{Table: client})
		Eventually(version(v)).WithTimeout(waitTimeout).Should(Equal(uint64(1)))
	})

	// Permits that are shorter than a watch would end while nothing changes.
	It("is confirmed on request, in between the watches, if the store answers", func() {
		before := clock.Now()
		v.Confirm(context.Background())
		at, ok := v.CompleteAsOf()
		Expect(ok).To(BeTrue())
		Expect(at).To(BeTemporally(">=", before))
		client.SetFault(kvsim.FaultRefuse)
		later := clock.Now()
		v.Confirm(context.Background())
		at, _ = v.CompleteAsOf()
		Expect(at).To(BeTemporally("<", later))
	})

	It("follows changes and ignores a configuration that it cannot decode", func() {
		t.Set("config", []byte("not one byte"))
		t.Set("config", []byte{3})
		Eventually(version(v)).WithTimeout(waitTimeout).Should(Equal(uint64(3)))
		t.Set("config", []byte{2})
		t.Set("server/a", []byte("ready s"))
		Eventually(func() int { return len(v.State().Servers) }).WithTimeout(waitTimeout).Should(Equal(1))
		Expect(version(v)()).To(Equal(uint64(3)), "an older version never replaces a newer one")
	})

	It("lists everything anew, from the same source, when the history has been compacted", func() {
		before := t.Calls()
		client.SetFault(kvsim.FaultRefuse)
		Eventually(t.Calls).WithTimeout(waitTimeout).Should(BeNumerically(">", before+1))
		t.Set("config", []byte{5})
		t.Set("server/a", []byte("ready s"))
		t.Compact()
		client.SetFault(kvsim.FaultNone)
		Eventually(version(v)).WithTimeout(waitTimeout).Should(Equal(uint64(5)))
		Expect(v.State().Servers).To(HaveLen(1))
	})

	It("removes servers whose entries it cannot decode, and keeps the others", func() {
		t.Set("server/a", []byte("ready s"))
		t.Set("server/b", []byte("ready s"))
		Eventually(func() int { return len(v.State().Servers) }).WithTimeout(waitTimeout).Should(Equal(2))
		t.Set("server/a", []byte("bad"))
		Eventually(func() int { return len(v.State().Servers) }).WithTimeout(waitTimeout).Should(Equal(1))
		Expect(v.State().Servers).To(HaveKey(model.ServerID("b")))
		t.Remove("server/b")
		Eventually(func() int { return len(v.State().Servers) }).WithTimeout(waitTimeout).Should(BeZero())
	})

	// A name of a mebibyte, left by another writer, went into each CONNECT and into the entry of the copies of a
	// service's log, which was then over the limit of the store.
	// An empty identifier stands for no server where a primary is appointed.
	It("doesn't use servers with names that are too long or without an identifier, and keeps the others", func() {
		t.Set("server/a", []byte("ready "+strings.Repeat("s", 1<<10)))
		t.Set("server/b", []byte("ready "+strings.Repeat("s", 1<<10+1)))
		t.Set("server/", []byte("ready s"))
		t.Set("server/c", []byte("ready s"))
		Eventually(func() map[model.ServerID]plan.Server { return v.State().Servers }).WithTimeout(waitTimeout).Should(And(HaveLen(2), HaveKey(model.ServerID("a")), HaveKey(model.ServerID("c"))))
	})

	It("keeps the time at which a server started to drain", func() {
		t.Set("server/a", []byte("draining s"))
		Eventually(func() int { return len(v.State().Servers) }).WithTimeout(waitTimeout).Should(Equal(1))
		since := v.State().Servers["a"].DrainingSince
		Expect(since).NotTo(BeZero())
		revision := t.Set("server/a", []byte("draining s"))
		Eventually(func() uint64 { return v.State().Servers["a"].Revision }).WithTimeout(waitTimeout).Should(Equal(revision))
		Expect(v.State().Servers["a"].DrainingSince).To(Equal(since))
		t.Set("server/a", []byte("bad"))
		Eventually(func() int { return len(v.State().Servers) }).WithTimeout(waitTimeout).Should(BeZero())
		t.Set("server/a", []byte("draining s"))
		Eventually(func() int { return len(v.State().Servers) }).WithTimeout(waitTimeout).Should(Equal(1))
		Expect(v.State().Servers["a"].DrainingSince).To(Equal(since), "an entry that can't be decoded in between changes nothing")
	})

	It("decodes instances and rights", func() {
		value, err := view.InstanceValue(plan.Instance{Address: "h:1", Domain: "d", Weight: 2, Bandwidth: 10, LeaseLife: 9 * time.Second, Level: 1}, 0)
		Expect(err).NotTo(HaveOccurred())
		registered := t.Set(v.InstanceKey("i"), value)
		value, err = view.RightValue("i", 0)
		Expect(err).NotTo(HaveOccurred())
		revision := t.Set(v.RightKey("r"), value)
		Eventually(func() view.Right { return v.State().Rights["r"] }).WithTimeout(waitTimeout).Should(Equal(view.Right{Instance: "i", Revision: revision}))
		Expect(v.State().Instances["i"]).To(Equal(plan.Instance{ID: "i", Address: "h:1", Domain: "d", Weight: 2, Bandwidth: 10, Revision: registered, LeaseLife: 9 * time.Second, Level: 1}))
		t.Remove(v.RightKey("r"))
		t.Remove(v.InstanceKey("i"))
		Eventually(func() int { return len(v.State().Instances) + len(v.State().Rights) }).WithTimeout(waitTimeout).Should(BeZero())
	})

	// A lifetime that is out of range is waited for, and an epoch that is too late stays for ever.
	It("passes over entries of instances with numbers out of range, and keeps what was known", func() {
		t.Set(v.AppointmentKey("s"), []byte(`{"server":"p"}`))
		t.Set(v.CopiesKey("s"), []byte(`{"copies":[{"server":"p"}],"sync_replicas":1}`))
		t.Set(v.InstanceKey("i"), []byte(`{"address":"h:1","weight":1}`))
		Eventually(func() int { return len(v.State().Instances) }).WithTimeout(waitTimeout).Should(Equal(1))
		for i, odd := range []string{
			`{"address":"h:1","permit_ms":9223372036854775807}`, `{"address":"h:1","lease_ms":-1}`, `{"address":"h:1","lease_ms":1e18}`, `{"address":"h:1","weight":1e300}`, `{"address":"h:1","weight":-1}`,
			`{"address":"h:1","level":-1}`, strings.Repeat("[", 100_000), ``,
		} {
			t.Set(v.InstanceKey(model.InstanceID(fmt.Sprint("odd", i))), []byte(odd))
			t.Set(v.InstanceKey("i"), []byte(odd))
		}
		for _, odd := range []string{`{"server":"q","epoch":18446744073709551615}`, `{"server":7}`, strings.Repeat("[", 100_000)} {
			t.Set(v.AppointmentKey("s"), []byte(odd))
		}
		for _, odd := range []string{`{"sync_replicas":-1}`, `{"sync_replicas":9000000000000000000}`, `{"copies":7}`} {
			t.Set(v.CopiesKey("s"), []byte(odd))
		}
		t.Set("config", []byte{2})
		Eventually(version(v)).WithTimeout(waitTimeout).Should(Equal(uint64(2)))
		Expect(v.State().Instances).To(HaveLen(1))
		Expect(v.State().Instances["i"].Weight).To(Equal(1.0))
		Expect(v.State().Appointments["s"].Server).To(Equal(model.ServerID("p")))
		Expect(v.State().Copies["s"].SyncReplicas()).To(Equal(1))
	})

	// Fleets consist of two builds while they are upgraded. The texts are those that the builds write.
	for name, c := range map[string]struct {
		entry string
		want  plan.Instance
	}{
		"9b94287": {`{"address":"h:1","domain":"d","weight":2,"lease_ms":9000}`, plan.Instance{LeaseLife: 9 * time.Second}},
		"db51426": {`{"address":"h:1","domain":"d","weight":2,"bandwidth_mbps":10,"lease_ms":9000,"permit_ms":1000}`,
			plan.Instance{Bandwidth: 10, LeaseLife: 9 * time.Second, PermitLife: time.Second}},
		"a later one": {`{"address":"h:1","domain":"d","weight":2,"level":7,"later":{"any":[1]}}`, plan.Instance{Level: 7}},
	} {
		It("reads the registration that an instance of another build writes: "+name, func() {
			c.want.ID, c.want.Address, c.want.Domain, c.want.Weight = "i", "h:1", "d", 2
			c.want.Revision = t.Set(v.InstanceKey("i"), []byte(c.entry))
			Eventually(func() plan.Instance { return v.State().Instances["i"] }).WithTimeout(waitTimeout).Should(Equal(c.want))
		})
	}

	It("doesn't claim to be newer than its last confirmation", func() {
		Eventually(func() time.Time {
			at, _ := v.FreshAsOf()
			return at
		}).WithTimeout(waitTimeout).Should(BeTemporally(">", clock.Now().Add(-time.Hour)))
		client.SetFault(kvsim.FaultTimeout)
		cut := clock.Now()
		time.Sleep(300 * time.Millisecond)
		at, ok := v.FreshAsOf()
		Expect(ok).To(BeTrue())
		Expect(at).To(BeTemporally("<=", cut))
	})
})

// peer is a source that queries another view.
type peer struct {
	view   *view.View
	mu     sync.Mutex
	failed bool
}

func (p *peer) Name() string { return "peer" }

func (p *peer) Fetch(ctx context.Context, q view.Query) (view.Update, error) {
	p.mu.Lock()
	failed := p.failed
	p.mu.Unlock()
	if failed {
		return view.Update{}, store.ErrUnavailable
	}
	q.Wait = 100 * time.Millisecond
	return p.view.Serve(ctx, q)
}

func (p *peer) setFailed(failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed = failed
}

var _ = Describe("A view with a peer as its source", func() {
	var t *kvsim.Table
	var first *view.View
	var p *peer
	var direct *kvsim.Client
	var follower *view.View
	BeforeEach(func() {
		t = kvsim.New()
		t.Set("config", []byte{1})
		first = start(view.StoreSource{Table: t.Client()})
		p = &peer{view: first}
		direct = t.Client()
		Eventually(version(first)).WithTimeout(waitTimeout).Should(Equal(uint64(1)))
		follower = start(p, view.StoreSource{Table: direct})
		Eventually(version(follower)).WithTimeout(waitTimeout).Should(Equal(uint64(1)))
	})

	It("learns of changes without a call to the store", func() {
		direct.SetFault(kvsim.FaultRefuse)
		t.Set("config", []byte{2})
		t.Set("server/a", []byte("ready s"))
		Eventually(version(follower)).WithTimeout(waitTimeout).Should(Equal(uint64(2)))
		Eventually(func() int { return len(follower.State().Servers) }).WithTimeout(waitTimeout).Should(Equal(1))
		t.Remove("server/a")
		Eventually(func() int { return len(follower.State().Servers) }).WithTimeout(waitTimeout).Should(BeZero())
	})

	It("is never fresher than the peer", func() {
		for range 20 {
			mine, _ := follower.FreshAsOf()
			theirs, _ := first.FreshAsOf()
			Expect(mine).To(BeTemporally("<=", theirs.Add(time.Millisecond)))
			time.Sleep(20 * time.Millisecond)
		}
	})

	It("queries the store when the peer has failed, and misses no change", func() {
		p.setFailed(true)
		t.Set("config", []byte{4})
		Eventually(version(follower)).WithTimeout(waitTimeout).Should(Equal(uint64(4)))
	})
})

// noWatchSource is a source that answers queries without a wait, but never a watch.
type noWatchSource struct {
	mu     sync.Mutex
	waits  []time.Duration
	answer view.Update
}

func (w *noWatchSource) Name() string { return "store" }

func (w *noWatchSource) Fetch(ctx context.Context, q view.Query) (view.Update, error) {
	w.mu.Lock()
	w.waits = append(w.waits, q.Wait)
	w.mu.Unlock()
	if q.All || q.Wait == 0 {
		return w.answer, nil
	}
	<-ctx.Done()
	return view.Update{}, ctx.Err()
}

// unusedPeer is a peer that must not be queried, and records whether it was.
type unusedPeer struct{ queried atomic.Bool }

func (u *unusedPeer) Name() string { return "peer" }

func (u *unusedPeer) Fetch(context.Context, view.Query) (view.Update, error) {
	u.queried.Store(true)
	return view.Update{}, errors.New("no content yet")
}

var _ = Describe("A store that does not answer watches after it has lost its history", func() {
	It("is queried once more, without a wait, before a peer is", func() {
		store, peer := &noWatchSource{answer: view.Update{Revision: 3}}, &unusedPeer{}
		v := start(store, peer)
		Eventually(func() int {
			store.mu.Lock()
			defer store.mu.Unlock()
			return len(store.waits)
		}).WithTimeout(waitTimeout).Should(BeNumerically(">=", 5))
		store.mu.Lock()
		Expect(store.waits[1:5]).To(Equal([]time.Duration{time.Second, 0, time.Second, 0}))
		store.mu.Unlock()
		Expect(peer.queried.Load()).To(BeFalse())
		_, known := v.FreshAsOf()
		Expect(known).To(BeTrue())
	})
})

var _ = Describe("The appointment of a primary", func() {
	report := func(id model.ServerID) plan.Server {
		return plan.Server{ID: id, Service: "s", ReportsPrimary: true}
	}
	for name, c := range map[string]struct {
		appointment plan.Appointment
		primary     bool
	}{
		"nobody was appointed yet":      {plan.Appointment{}, true},
		"the server is appointed":       {plan.Appointment{Server: "p", Epoch: 3}, true},
		"another server is appointed":   {plan.Appointment{Server: "r", Epoch: 3}, false},
		"the appointment was withdrawn": {plan.Appointment{Epoch: 3}, false},
	} {
		It("decides about a server that reports the role: "+name, func() {
			s := c.appointment.Apply(report("p"))
			Expect(s.Primary).To(Equal(c.primary))
			Expect(s.Epoch).To(Equal(c.appointment.Epoch))
		})
	}

	It("makes no primary of a server that doesn't report the role", func() {
		Expect(plan.Appointment{Server: "p", Epoch: 3}.Apply(plan.Server{ID: "p"}).Primary).To(BeFalse())
	})
})
