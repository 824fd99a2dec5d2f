package relay_test

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/stmt"
	"pomelofork/emul/lack"
	"pomelofork/emul/seed"
	"pomelofork/io/clock"
	"pomelofork/io/relay"
	"pomelofork/io/store"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay", seed.Suite())
}

// handler records the orders and returns fixed or derived results.
type handler struct {
	// hold blocks Run until it is closed, and holdLook does so with Look, unless they are nil.
	hold, holdLook chan struct{}
	seen           chan stmt.Order
}

func (h *handler) Run(args *relay.RunRequest, result *relay.RunResponse) error {
	h.seen <- args.Order
	if h.hold != nil {
		<-h.hold
	}
	result.Result = stmt.Result{
		Answer: stmt.Answer{Rows: []string{"a b", ""}, Digest: "d", Code: stmt.CodeFailed, Text: "t", State: stmt.StateFailed, Point: model.NewPoint(3, 4)},
		Wait:   time.Second, RetryAfter: 2 * time.Second, Latest: model.NewPoint(5, 6), LatestAge: time.Millisecond, NotSent: true,
		Waits: []stmt.PriorityWait{{Priority: 0, Wait: time.Millisecond}, {Priority: 2, Wait: time.Second}},
	}
	return nil
}

func (h *handler) Draw(args *relay.DrawRequest, result *relay.DrawResponse) error {
	result.Holds, result.Tokens, result.Delay = true, args.Need+args.Ahead, args.MaxWait
	return nil
}

func (h *handler) Follow(args *relay.FollowRequest, result *relay.FollowResponse) error {
	result.Known, result.All, result.Revision, result.Age = true, args.All, args.After+1, args.Wait
	result.Entries = []store.Entry{{Key: "k", Value: []byte{0, 1}, Revision: 9, Lease: 4, Removed: true}}
	return nil
}

func (h *handler) Look(args *relay.LookRequest, result *relay.LookResponse) error {
	if h.holdLook != nil {
		<-h.holdLook
	}
	if args.Service == "bad" {
		return errors.New("no such service")
	}
	result.Point, result.Age, result.ConfigAge = model.NewPoint(1, 2), time.Minute, -1
	return nil
}

func (h *handler) Confirm(args *relay.ConfirmRequest, result *relay.ConfirmResponse) error {
	result.Confirmed, result.Age = args.Probe, time.Duration(len(args.Server))
	return nil
}

func (h *handler) Outage(args *relay.OutageRequest, result *relay.OutageResponse) error {
	result.Suspected = args.Domain == "d"
	return nil
}

func (h *handler) Endorse(args *relay.EndorseRequest, result *relay.EndorseResponse) error {
	result.Endorsed, result.Epoch = args.Service == "s", 7
	return nil
}

func (h *handler) Withdraw(args *relay.WithdrawRequest, _ *relay.WithdrawResponse) error {
	if args.Epoch != 9 {
		return errors.New("other epoch")
	}
	return nil
}

// serve starts a server and returns its address, its listener, and a channel that receives
// the entries whose connections ended.
func serve(h relay.Handler) (string, net.Listener, chan uint64) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	disconnected := make(chan uint64, 8)
	Expect(relay.NewServer(relay.ServerConfig{
		Listener: listener, Handler: h, Disconnected: func(entry uint64) { disconnected <- entry }, Log: slog.New(slog.DiscardHandler),
	})).To(Succeed())
	DeferCleanup(func() { _ = listener.Close() })
	return listener.Addr().String(), listener, disconnected
}

// dialer opens TCP connections and keeps them, so that the test can close them.
type dialer struct{ conns []net.Conn }

func (d *dialer) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	if err == nil {
		d.conns = append(d.conns, conn)
	}
	return conn, err
}

// Callers waited for the time-outs of calls to instances that had lost power.
var _ = Describe("A call in flight to an instance that is believed to have failed", func() {
	for name, c := range map[string]struct {
		order stmt.Order
		ends  bool
	}{
		"ends if any server may run the order":          {stmt.Order{Statement: stmt.Statement{Kind: stmt.KindRead}}, true},
		"waits for the answer if the order writes":      {stmt.Order{Statement: stmt.Statement{Kind: stmt.KindWrite}}, false},
		"waits for the answer to one of a transaction":  {stmt.Order{Statement: stmt.Statement{Kind: stmt.KindRead}, Unit: 1}, false},
		"waits for the answer of the primary to a read": {stmt.Order{Statement: stmt.Statement{Kind: stmt.KindRead}, Prove: true}, false},
	} {
		It(name, func() {
			h := &handler{hold: make(chan struct{}), seen: make(chan stmt.Order, 1)}
			address, _, _ := serve(h)
			failed, d := make(chan struct{}), &dialer{}
			peer := relay.NewPeer(relay.PeerConfig{Address: address, Dial: d.dial, Log: slog.New(slog.DiscardHandler), Abandoned: func() <-chan struct{} { return failed }})
			ended := make(chan error, 1)
			go func() {
				_, err := peer.Run(clock.Now(), &relay.RunRequest{Order: c.order}, 20*time.Second)
				ended <- err
			}()
			Eventually(h.seen).Should(Receive())
			close(failed)
			if c.ends {
				Eventually(ended).WithTimeout(10 * time.Second).Should(Receive(MatchError(relay.ErrNoAnswer)))
			} else {
				Consistently(ended).WithTimeout(100 * time.Millisecond).ShouldNot(Receive())
			}
			close(h.hold)
		})
	}
})

var _ = Describe("Peer", func() {
	var h *handler
	var d *dialer
	var address string
	var disconnected chan uint64
	var peer *relay.Peer
	BeforeEach(func() {
		h, d = &handler{seen: make(chan stmt.Order, 8)}, &dialer{}
		address, _, disconnected = serve(h)
		peer = relay.NewPeer(relay.PeerConfig{Name: "p", Address: address, Dial: d.dial, Log: slog.New(slog.DiscardHandler)})
	})

	It("transfers all fields of an order and of its result", func() {
		order := stmt.Order{
			Entry: 7, Unit: 8, Begin: stmt.OpBeginRead, Prove: true, After: model.NewPoint(1, 2), Server: "s", Account: "a", Class: "c",
			Priority: -3, Target: -time.Second, Timeout: time.Minute, Values: []stmt.Value{{Name: "n", Content: "c d"}}, Homes: []model.Region{"r"},
			Prepared:  stmt.Prepared{Shape: "q", Writes: true},
			Statement: stmt.Statement{ID: "i", Text: "EXECUTE x y", Kind: stmt.KindExecute, Name: "x", Rest: "y", Writes: true},
		}
		ran, err := peer.Run(clock.Now(), &relay.RunRequest{Order: order}, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(<-h.seen).To(Equal(order))
		Expect(ran.Result.Answer.Rows).To(Equal([]string{"a b", ""}))
		Expect(ran.Result.Latest).To(Equal(model.NewPoint(5, 6)))
		Expect(ran.Result.LatestAge).To(Equal(time.Millisecond))
		Expect(ran.Result.Waits).To(Equal([]stmt.PriorityWait{{Priority: 0, Wait: time.Millisecond}, {Priority: 2, Wait: time.Second}}))
		Expect(ran.Result.NotSent).To(BeTrue())
	})

	It("transfers token requests, points and changes of the store", func() {
		drawn, err := peer.Draw(clock.Now(), &relay.DrawRequest{Account: "a", Need: 1, Ahead: 4, MaxWait: time.Second}, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(drawn).To(Equal(relay.DrawResponse{Holds: true, Tokens: 5, Delay: time.Second}))
		looked, err := peer.Look(clock.Now(), "s", time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(looked).To(Equal(relay.LookResponse{Point: model.NewPoint(1, 2), Age: time.Minute, ConfigAge: -1}))
		followed, err := peer.Follow(clock.Now(), &relay.FollowRequest{After: 4, All: true, Wait: time.Second}, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(followed).To(Equal(relay.FollowResponse{
			Known: true, All: true, Revision: 5, Age: time.Second,
			Entries: []store.Entry{{Key: "k", Value: []byte{0, 1}, Revision: 9, Lease: 4, Removed: true}},
		}))
	})

	It("distinguishes an error that the peer returns from a missing answer", func() {
		confirmed, err := peer.Confirm(clock.Now(), &relay.ConfirmRequest{Server: "p12", Probe: true}, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(confirmed).To(Equal(relay.ConfirmResponse{Confirmed: true, Age: 3}))
		endorsed, err := peer.Endorse(clock.Now(), &relay.EndorseRequest{Service: "s"}, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(endorsed).To(Equal(relay.EndorseResponse{Endorsed: true, Epoch: 7}))
		Expect(peer.Withdraw(clock.Now(), &relay.WithdrawRequest{Service: "s", Epoch: 9}, time.Second)).To(Succeed())
		Expect(peer.Withdraw(clock.Now(), &relay.WithdrawRequest{Service: "s", Epoch: 8}, time.Second)).NotTo(Succeed())
		_, err = peer.Look(clock.Now(), "bad", time.Second)
		Expect(err).To(MatchError(ContainSubstring("no such service")))
		Expect(err).NotTo(Or(MatchError(relay.ErrNoAnswer), MatchError(relay.ErrNotSent)))
	})

	// Guards against taking an instance as failed because this process has no descriptor for a connection.
	It("reports that an order was not sent without a descriptor, and nothing of the instance", func() {
		var events []relay.Event
		peer = relay.NewPeer(relay.PeerConfig{Name: "p", Address: address, Log: slog.New(slog.DiscardHandler), Observe: func(e relay.Event) { events = append(events, e) },
			Dial: func(context.Context, string) (net.Conn, error) { return nil, lack.Error("socket", syscall.EMFILE) }})
		_, err := peer.Run(clock.Now(), &relay.RunRequest{}, time.Second)
		Expect(err).To(And(MatchError(relay.ErrNotSent), MatchError(syscall.EMFILE)))
		Expect(events).To(BeEmpty())
	})

	It("reports that an order was not sent when no process listens", func() {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		peer = relay.NewPeer(relay.PeerConfig{Name: "p", Address: listener.Addr().String(), Dial: d.dial, Log: slog.New(slog.DiscardHandler)})
		_, err = peer.Run(clock.Now(), &relay.RunRequest{}, time.Second)
		Expect(err).To(And(MatchError(relay.ErrNotSent), MatchError(relay.ErrConnRefused)))
		Expect(peer.Reachable(clock.Now())).To(BeFalse())
	})

	It("reports that an order may have run when the connection closes", func() {
		h.hold = make(chan struct{})
		defer close(h.hold)
		failed := make(chan error, 1)
		go func() {
			_, err := peer.Run(clock.Now(), &relay.RunRequest{Order: stmt.Order{Entry: 11}}, 10*time.Second)
			failed <- err
		}()
		<-h.seen
		Expect(d.conns[0].Close()).To(Succeed())
		err := <-failed
		Expect(err).To(MatchError(relay.ErrNoAnswer))
		Expect(err).NotTo(MatchError(relay.ErrNotSent))
		By("reporting to the server which entry has disconnected")
		Eventually(disconnected).WithTimeout(10 * time.Second).Should(Receive(Equal(uint64(11))))
	})

	It("keeps a connection while a call takes long and checks are answered", func() {
		h.hold = make(chan struct{})
		done := make(chan error, 1)
		go func() {
			_, err := peer.Run(clock.Now(), &relay.RunRequest{}, 10*time.Second)
			done <- err
		}()
		<-h.seen
		Consistently(done, 700*time.Millisecond).ShouldNot(Receive())
		close(h.hold)
		Eventually(done).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
	})

	It("sends no calls to an unresponsive peer until it answers again", func() {
		// The kernel accepts connections for a process that is stopped, as it does here for a
		// listener without a server.
		stopped, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		peer = relay.NewPeer(relay.PeerConfig{Name: "p", Address: stopped.Addr().String(), Dial: (&dialer{}).dial, Log: slog.New(slog.DiscardHandler)})
		_, err = peer.Run(clock.Now(), &relay.RunRequest{}, 10*time.Second)
		Expect(err).To(MatchError(relay.ErrNotSent), "no call is sent before the peer has answered")
		Consistently(func() bool { return peer.Reachable(clock.Now()) }, time.Second).Should(BeFalse())
		_, err = peer.Run(clock.Now(), &relay.RunRequest{}, 10*time.Second)
		Expect(err).To(MatchError(relay.ErrNotSent))
		By("using it again as soon as it answers")
		Expect(relay.NewServer(relay.ServerConfig{Listener: stopped, Handler: h, Disconnected: func(uint64) {}, Log: slog.New(slog.DiscardHandler)})).To(Succeed())
		DeferCleanup(func() { _ = stopped.Close() })
		Eventually(func() bool { return peer.Reachable(clock.Now()) }).WithTimeout(10 * time.Second).Should(BeTrue())
		_, err = peer.Run(clock.Now(), &relay.RunRequest{}, 10*time.Second)
		Expect(err).NotTo(HaveOccurred())
	})

	It("stops using a peer that doesn't answer calls any more", func() {
		h.hold, h.holdLook = make(chan struct{}), make(chan struct{})
		DeferCleanup(func() { close(h.hold); close(h.holdLook) })
		_, err := peer.Run(clock.Now(), &relay.RunRequest{}, 10*time.Second)
		Expect(err).To(MatchError(relay.ErrNoAnswer))
		Expect(peer.Reachable(clock.Now())).To(BeFalse())
	})
})
