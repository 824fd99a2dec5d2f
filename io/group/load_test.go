package group_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/emul/pgsim"
	"pomelofork/io/group"
)

// load writes through the pictures of some watchers until it is stopped.
type load struct {
	bench *bench
	stop  context.CancelFunc
	work  sync.WaitGroup
	mu    sync.Mutex
	acked []string
}

// newLoad starts two writers for each watcher. The second one also keeps to a server
// that it has written to for some time after it was replaced, as a slow gateway would.
func newLoad(b *bench, watchers ...*group.Watcher) *load {
	ctx, stop := context.WithCancel(context.Background())
	l := &load{bench: b, stop: stop}
	for i, w := range watchers {
		for j := range 2 {
			l.work.Go(func() { l.write(ctx, w, fmt.Sprintf("%d-%d", i, j), j == 1) })
		}
	}
	DeferCleanup(l.end)
	return l
}

// write inserts ids that are never used twice.
func (l *load) write(ctx context.Context, w *group.Watcher, name string, sticky bool) {
	var at model.ServerID
	for n := 0; ctx.Err() == nil; n++ {
		if id, ok := w.Known().Primary(); ok && (!sticky || n%20 == 0) {
			at = id
		}
		if at == "" {
			time.Sleep(time.Millisecond)
			continue
		}
		id := fmt.Sprintf("%s-%d", name, n)
		if err := l.once(ctx, w, at, id); err != nil {
			w.Evidence(at, err)
			time.Sleep(time.Millisecond)
			continue
		}
		l.mu.Lock()
		l.acked = append(l.acked, id)
		l.mu.Unlock()
	}
}

// once writes one id and waits until it is safe.
func (l *load) once(ctx context.Context, w *group.Watcher, at model.ServerID, id string) error {
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	point, err := l.bench.write(ctx, at, id)
	if err != nil {
		return err
	}
	return w.WaitCommitted(ctx, point)
}

// count is how many writes were acknowledged so far.
func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.acked)
}

// grows waits until more writes are acknowledged.
func (l *load) grows() {
	have := l.count()
	EventuallyWithOffset(1, l.count, patience).Should(BeNumerically(">=", have+40))
}

// end stops the writers.
func (l *load) end() {
	l.stop()
	l.work.Wait()
}

// ledger reads the ids at a server.
func (b *bench) ledger(ctx context.Context, at model.ServerID) map[string]int {
	address, _ := b.sim.Address(at)
	c, err := pgconn.Connect(ctx, "postgres://u:p@"+address+"/g?sslmode=disable")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close(ctx) }()
	results, err := c.Exec(ctx, "SELECT id FROM ledger").ReadAll()
	Expect(err).NotTo(HaveOccurred())
	counts := map[string]int{}
	for _, row := range results[0].Rows {
		counts[string(row[0])]++
	}
	return counts
}

var _ = Describe("Watchers under load", func() {
	faults := map[string]struct{ on, off pgsim.Fault }{
		"killed":                   {pgsim.Fault{Killed: on(true)}, pgsim.Fault{Killed: on(false)}},
		"cut off":                  {pgsim.Fault{Cut: on(true)}, pgsim.Fault{Cut: on(false)}},
		"frozen":                   {pgsim.Fault{Frozen: on(true)}, pgsim.Fault{Frozen: on(false)}},
		"cut off from replicas":    {pgsim.Fault{CutFrom: &[]model.ServerID{"g-0", "g-1", "g-2"}}, pgsim.Fault{CutFrom: &[]model.ServerID{}}},
		"leaving":                  {pgsim.Fault{Leaving: on(true)}, pgsim.Fault{Leaving: on(false)}},
		"left without its answers": {pgsim.Fault{Killed: on(true), Cut: on(true)}, pgsim.Fault{Killed: on(false), Cut: on(false)}},
	}
	for name, fault := range faults {
		It("lose and double nothing when primaries are "+name+", one after the other", func(ctx SpecContext) {
			b := newBench()
			first, second := b.watch(0, nil), b.watch(1, nil)
			l := newLoad(b, first, second)
			l.grows()
			for range 3 {
				old := primary(first)
				Expect(old).NotTo(BeEmpty())
				Expect(b.sim.Apply(old, fault.on)).To(Succeed())
				if name != "cut off from replicas" {
					Eventually(func() model.ServerID { return primary(first) }, patience).ShouldNot(BeElementOf(old, model.ServerID("")))
					Eventually(func() model.ServerID { return primary(second) }, patience).ShouldNot(BeElementOf(old, model.ServerID("")))
					l.grows()
				}
				Expect(b.sim.Apply(old, fault.off)).To(Succeed())
				l.grows()
				Eventually(func() model.ServerID { return primary(first) }, patience).ShouldNot(BeEmpty())
			}
			l.end()
			Eventually(func() model.ServerID { return primary(first) }, patience).ShouldNot(BeEmpty())
			counts := b.ledger(ctx, primary(first))
			for _, id := range l.acked {
				Expect(counts).To(HaveKeyWithValue(id, 1))
			}
		})
	}
})
