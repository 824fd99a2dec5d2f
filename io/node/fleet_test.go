package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jackc/pgx/v5"

	"pomelofork/core/conf"
	"pomelofork/core/model"
	"pomelofork/emul/lack"
	"pomelofork/emul/pgsim"
	"pomelofork/emul/plat"
	"pomelofork/emul/seed"
	"pomelofork/io/store"
	"pomelofork/io/store/memkv"
)

func TestNode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "node", seed.Suite())
}

const (
	secretKey = "key-of-ann-that-must-stay-here"
	// readyTimeout limits the wait until the instances of a new fleet are ready.
	readyTimeout = 60 * time.Second
)

// recorder is a TCP proxy in front of a backend server. It records the bytes that are sent
// to the server.
type recorder struct {
	mu       sync.Mutex
	sent     bytes.Buffer
	listener net.Listener
}

// newRecorder starts a recorder in front of the server at the target address.
func newRecorder(target string) *recorder {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &recorder{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.forward(conn, target)
		}
	}()
	DeferCleanup(listener.Close)
	return r
}

// forward copies both directions of one connection until either side closes it.
func (r *recorder) forward(conn net.Conn, target string) {
	defer func() { _ = conn.Close() }()
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	go func() {
		_, _ = io.Copy(conn, server)
		_ = conn.Close()
	}()
	_, _ = io.Copy(server, io.TeeReader(conn, r))
}

// Write implements io.Writer.
func (r *recorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent.Write(p)
}

// recorded reports whether the text was sent to the server.
func (r *recorder) recorded(text string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return bytes.Contains(r.sent.Bytes(), []byte(text))
}

// testFleet is a whole system in one process: the emulated platform, one group of emulated
// backend servers, and some instances.
type testFleet struct {
	kv        *memkv.KV
	platform  *httptest.Server
	group     *pgsim.Group
	recorders []*recorder
	nodes     []*Node
	document  *conf.Document
}

// newTestFleet starts a fleet with the given number of instances and waits until they are
// ready.
func newTestFleet(size int) *testFleet {
	f := &testFleet{}
	server := plat.New(plat.Config{Seed: 1})
	f.kv = server.KV()
	f.platform = httptest.NewServer(server)
	DeferCleanup(f.platform.Close)
	group, err := pgsim.New(pgsim.Config{
		Service: "stock", Listen: "127.0.0.1:0", Slots: 2, Connections: 16,
		ConnectCost: time.Millisecond, ReceiveLag: time.Millisecond, ApplyLag: 30 * time.Millisecond,
		User: "pomelofork", Password: "login-of-ours",
	})
	Expect(err).NotTo(HaveOccurred())
	f.group = group
	DeferCleanup(group.Close)
	f.document = f.newDocument()
	f.put(func(*conf.Document) {})
	for range size {
		f.start(nil)
	}
	f.waitReady()
	return f
}

// newDocument returns the configuration of the fleet, with a recorder in front of each
// backend server.
func (f *testFleet) newDocument() *conf.Document {
	d := &conf.Document{
		Format: conf.Format, Preset: "ordinary",
		Presets: map[string]conf.PresetEntry{"ordinary": {RatePercent: 100}},
		Accounts: []conf.AccountEntry{
			{ID: "ann", RatePerS: 5000, Burst: 5000, Share: 1, Keys: []conf.KeyEntry{{SHA256: conf.HashKey(secretKey)}, {SHA256: conf.HashKey("second-key")}}},
			{ID: "bob", RatePerS: 5000, Burst: 5000, Share: 1, Keys: []conf.KeyEntry{{SHA256: conf.HashKey("key-bob")}}},
		},
		Services: []conf.ServiceEntry{{ID: "stock", Database: "stock", User: "pomelofork", Password: "login-of-ours", StatementTimeoutMs: 8000}},
		Routes: []conf.RouteEntry{
			{ID: "post", Service: "stock", Access: "write"},
			{ID: "aged", Service: "stock", Access: "read", MaxAgeMs: 5000},
		},
	}
	for i, id := range f.group.IDs() {
		address, _ := f.group.Address(id)
		r := newRecorder(address)
		f.recorders = append(f.recorders, r)
		d.Services[0].Servers = append(d.Services[0].Servers, conf.ServerEntry{
			ID: id, Address: r.listener.Addr().String(), FailureDomain: model.Domain(fmt.Sprint("d", i)), Slots: 2, Connections: 16,
		})
	}
	return d
}

// put changes the document and writes it into the store as the next version.
func (f *testFleet) put(change func(*conf.Document)) {
	change(f.document)
	f.document.Version++
	text, err := f.document.Encode()
	Expect(err).NotTo(HaveOccurred())
	f.putText(text)
}

// putText overwrites the document in the store, regardless of its version.
func (f *testFleet) putText(text []byte) {
	ctx := context.Background()
	item, err := f.kv.Get(ctx, "config")
	if err != nil {
		Expect(err).To(MatchError(store.ErrNotFound))
	}
	_, err = f.kv.Swap(ctx, store.Swap{Key: "config", ExpectedRevision: item.Revision, Value: string(text)})
	Expect(err).NotTo(HaveOccurred())
}

// start starts one more instance with the given seeds. Each of its listeners is short of descriptors at
// first, which must not end it.
func (f *testFleet) start(seeds []string) *Node {
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		return lack.Wrap(l, 2, syscall.ENOBUFS)
	}
	i := len(f.nodes)
	n, err := New(Config{
		ID: model.InstanceID(fmt.Sprint("entry-", i)), Domain: model.Domain(fmt.Sprint("d", i%3)),
		CallerListener: listen(), LinkListener: listen(), PeerListener: listen(), AdminListener: listen(),
		PlatformURL: f.platform.URL, Seeds: seeds, ConfigFreshness: 8 * time.Second, DrainTimeout: 30 * time.Second,
		Logger: slog.New(slog.NewJSONHandler(GinkgoWriter, nil)),
	})
	Expect(err).NotTo(HaveOccurred())
	f.nodes = append(f.nodes, n)
	DeferCleanup(func() {
		if !n.stopping.Load() {
			n.Close()
		}
		Expect(n.check.Violations()).To(BeZero())
	})
	return n
}

// waitReady waits until all instances that are not stopping are ready.
func (f *testFleet) waitReady() {
	for _, n := range f.nodes {
		if !n.stopping.Load() {
			Eventually(n.Ready, readyTimeout).Should(BeTrue(), "%s", n.config.ID)
		}
	}
}

// connect opens a session at the instance with the given user name, key and settings.
func (n *Node) connect(user, key string, settings map[string]string) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig("postgres://" + n.config.CallerListener.Addr().String() + "/stock?sslmode=disable")
	Expect(err).NotTo(HaveOccurred())
	config.User, config.Password = user, key
	for name, value := range settings {
		config.RuntimeParams["pomelofork."+name] = value
	}
	return pgx.ConnectConfig(context.Background(), config)
}

// connectAnn opens a session of the account ann and closes it at the end of the spec. The
// spec fails if that isn't possible.
func (n *Node) connectAnn(settings map[string]string) *pgx.Conn {
	conn, err := n.connect("ann", secretKey, settings)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// set writes an item.
func set(conn *pgx.Conn, key, value string) error {
	_, err := conn.Exec(context.Background(), "INSERT INTO items (key, value) VALUES ($1, $2)", key, value)
	return err
}

// get returns the value of an item.
func get(conn *pgx.Conn, key string) (string, error) {
	var value, version string
	err := conn.QueryRow(context.Background(), "SELECT value, version FROM items WHERE key = $1", key).Scan(&value, &version)
	return value, err
}

// primary returns the running server that is the primary of the highest term.
func (f *testFleet) primary() model.ServerID {
	var id model.ServerID
	var term model.Term
	for _, state := range f.group.States() {
		if state.Primary && state.Promised > term && !state.Killed {
			id, term = state.ID, state.Promised
		}
	}
	return id
}
