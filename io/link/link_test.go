package link_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/emul/seed"
	"pomelofork/io/link"
	"pomelofork/io/wire"
)

func TestLink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "link", seed.Suite())
}

// fakeGateway is a gateway whose streams run the function run.
type fakeGateway struct {
	mu     sync.Mutex
	units  []wire.Unit
	closed int
	run    func(ctx context.Context, batch wire.Batch, sink wire.Sink) (wire.Result, error)
}

func (g *fakeGateway) Open(_ context.Context, unit wire.Unit) (wire.Stream, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.units = append(g.units, unit)
	return &fakeStream{g}, nil
}

func (g *fakeGateway) openedUnits() []wire.Unit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]wire.Unit(nil), g.units...)
}

func (g *fakeGateway) closedStreams() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

type fakeStream struct{ gateway *fakeGateway }

func (s *fakeStream) Run(ctx context.Context, batch wire.Batch, sink wire.Sink) (wire.Result, error) {
	return s.gateway.run(ctx, batch, sink)
}

func (s *fakeStream) Close() {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	s.gateway.closed++
}

// connect starts a server with the gateway of the service "orders" and returns a
// client of the server.
func connect(gateway *fakeGateway) (*link.Client, *link.Server) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := link.NewServer(link.ServerConfig{
		Listener: listener, Secret: "secret", MaxConnections: 8, Now: time.Now,
		Gateways: func(id model.ServiceID) (wire.Gateway, bool) { return gateway, id == "orders" },
	})
	DeferCleanup(server.Close)
	return newClient(listener.Addr().String(), "secret"), server
}

func newClient(address, secret string) *link.Client {
	client := link.NewClient(link.ClientConfig{
		Address: address, Secret: secret, MaxConnections: 4, Logger: slog.New(slog.DiscardHandler), Now: time.Now,
	})
	DeferCleanup(client.Close)
	return client
}

// countingSink counts messages and the bytes of rows.
type countingSink struct{ messages, bytes int }

func (c *countingSink) Message(m pgproto3.BackendMessage) error {
	c.messages++
	if row, ok := m.(*pgproto3.DataRow); ok {
		for _, value := range row.Values {
			c.bytes += len(value)
		}
	}
	return nil
}

func query(text string) wire.Batch {
	return wire.Batch{Messages: []pgproto3.FrontendMessage{&pgproto3.Query{String: text}}}
}

func unit(access model.Access) wire.Unit {
	return wire.Unit{Account: "o'brien", Service: "orders", Route: "r", Access: access, Token: "1/2", Remaining: 5 * time.Second}
}

func asRefusal(err error) *model.Refusal {
	var refusal *model.Refusal
	ExpectWithOffset(1, errors.As(err, &refusal)).To(BeTrue(), "not a refusal: %v", err)
	return refusal
}

var _ = Describe("link", func() {
	It("delivers a unit to the gateway, and a long answer with its result to the entry", func(ctx SpecContext) {
		const rows = 5000
		gateway := &fakeGateway{run: func(_ context.Context, batch wire.Batch, sink wire.Sink) (wire.Result, error) {
			Expect(batch.Messages).To(HaveLen(1))
			for i := range rows {
				if err := sink.Message(&pgproto3.DataRow{Values: [][]byte{[]byte(strconv.Itoa(i + 1_000_000))}}); err != nil {
					return wire.Result{}, err
				}
			}
			err := sink.Message(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 5000")})
			return wire.Result{TxStatus: 'I', Point: model.NewPoint(3, 9)}, err
		}}
		client, _ := connect(gateway)
		for range 3 {
			stream, err := client.Open(ctx, unit(model.AccessWrite))
			Expect(err).NotTo(HaveOccurred())
			got := &countingSink{}
			result, err := stream.Run(ctx, query("SELECT 1"), got)
			Expect(err).NotTo(HaveOccurred())
			Expect(result).To(Equal(wire.Result{TxStatus: 'I', Point: model.NewPoint(3, 9)}))
			Expect(*got).To(Equal(countingSink{rows + 1, 7 * rows}))
			stream.Close()
		}
		first := gateway.openedUnits()[0]
		Expect(first.Account).To(Equal(model.AccountID("o'brien")))
		Expect(first.Token).To(Equal("1/2"))
		Expect(first.Remaining).To(BeNumerically("<", 5*time.Second))
		Eventually(gateway.closedStreams, 5*time.Second).Should(Equal(3))
	})

	It("transmits every field of a unit with any text", func(ctx SpecContext) {
		gateway := &fakeGateway{run: func(context.Context, wire.Batch, wire.Sink) (wire.Result, error) {
			return wire.Result{TxStatus: 'I'}, nil
		}}
		client, _ := connect(gateway)
		sent := unit(model.AccessWrite)
		sent.Account, sent.RequestID, sent.Route = "' \\' \n</\u2028", "''x\x01\\\"'; COMMIT; --", "\U0001F34A="
		sent.Remaining = 0
		stream, err := client.Open(ctx, sent)
		Expect(err).NotTo(HaveOccurred())
		_, err = stream.Run(ctx, query("SELECT 1"), &countingSink{})
		Expect(err).NotTo(HaveOccurred())
		Expect(gateway.openedUnits()).To(Equal([]wire.Unit{sent}))
	})

	// Such an outcome was passed on as "not run", and such a reason without an SQLSTATE.
	It("takes a reason and an outcome of a newer build for a lost connection and an unknown outcome", func(ctx SpecContext) {
		gateway := &fakeGateway{run: func(context.Context, wire.Batch, wire.Sink) (wire.Result, error) {
			return wire.Result{}, model.NewRefusal(model.RefusalConfig{Reason: 200, Outcome: 7, RetryAfter: -time.Second})
		}}
		client, _ := connect(gateway)
		stream, err := client.Open(ctx, unit(model.AccessWrite))
		Expect(err).NotTo(HaveOccurred())
		_, err = stream.Run(ctx, query("SELECT 1"), &countingSink{})
		got := asRefusal(err)
		Expect(got.Reason()).To(Equal(model.ReasonConnectionLost))
		Expect(got.Outcome()).To(Equal(model.OutcomeUnknown))
		Expect(got.RetryAfter()).To(BeZero())
	})

	It("uses one stream for all batches of a transaction", func(ctx SpecContext) {
		gateway := &fakeGateway{}
		gateway.run = func(_ context.Context, batch wire.Batch, _ wire.Sink) (wire.Result, error) {
			if batch.Messages[0].(*pgproto3.Query).String == "COMMIT" {
				return wire.Result{TxStatus: 'I'}, nil
			}
			return wire.Result{TxStatus: 'T'}, nil
		}
		client, _ := connect(gateway)
		stream, err := client.Open(ctx, unit(model.AccessWrite))
		Expect(err).NotTo(HaveOccurred())
		for _, text := range []string{"BEGIN", "SELECT 1", "COMMIT"} {
			_, err := stream.Run(ctx, query(text), &countingSink{})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(gateway.openedUnits()).To(HaveLen(1))
	})

	// Such a query ended the transaction, was not run, and was answered as successful.
	It("runs a caller's query that begins like the announcement of a unit", func(ctx SpecContext) {
		const text = "SET pomelofork.unit = 'x'; INSERT INTO ledger (id) VALUES ('1')"
		var ran []string
		gateway := &fakeGateway{}
		gateway.run = func(_ context.Context, batch wire.Batch, _ wire.Sink) (wire.Result, error) {
			query := batch.Messages[0].(*pgproto3.Query).String
			ran = append(ran, query)
			if query == "COMMIT" {
				return wire.Result{TxStatus: 'I'}, nil
			}
			return wire.Result{TxStatus: 'T'}, nil
		}
		client, _ := connect(gateway)
		for range 2 {
			stream, err := client.Open(ctx, unit(model.AccessWrite))
			Expect(err).NotTo(HaveOccurred())
			for _, batch := range []wire.Batch{query(text), query(text), query("COMMIT")} {
				_, err := stream.Run(ctx, batch, &countingSink{})
				Expect(err).NotTo(HaveOccurred())
			}
		}
		Expect(ran).To(Equal([]string{text, text, "COMMIT", text, text, "COMMIT"}))
		Expect(gateway.openedUnits()).To(HaveLen(2))
	})

	It("closes the gateway's stream when the client closes its own during a transaction", func(ctx SpecContext) {
		gateway := &fakeGateway{run: func(context.Context, wire.Batch, wire.Sink) (wire.Result, error) {
			return wire.Result{TxStatus: 'T'}, nil
		}}
		client, _ := connect(gateway)
		stream, err := client.Open(ctx, unit(model.AccessWrite))
		Expect(err).NotTo(HaveOccurred())
		_, err = stream.Run(ctx, query("BEGIN"), &countingSink{})
		Expect(err).NotTo(HaveOccurred())
		stream.Close()
		Eventually(gateway.closedStreams, 5*time.Second).Should(Equal(1))
	})

	It("transmits every field of a refusal", func(ctx SpecContext) {
		sent := model.NewRefusal(model.RefusalConfig{
			Reason: model.ReasonAckTimeout, Outcome: model.OutcomeUnknown, RetryAfter: 1234 * time.Microsecond, Detail: "g-1",
		})
		gateway := &fakeGateway{run: func(context.Context, wire.Batch, wire.Sink) (wire.Result, error) { return wire.Result{}, sent }}
		client, _ := connect(gateway)
		for range 2 {
			stream, err := client.Open(ctx, unit(model.AccessWrite))
			Expect(err).NotTo(HaveOccurred())
			_, err = stream.Run(ctx, query("SELECT 1"), &countingSink{})
			Expect(asRefusal(err)).To(Equal(sent))
		}
	})

	It("refuses a unit for a service of which the other instance is not a gateway", func(ctx SpecContext) {
		client, _ := connect(&fakeGateway{})
		other := unit(model.AccessWrite)
		other.Service = "stock"
		stream, err := client.Open(ctx, other)
		Expect(err).NotTo(HaveOccurred())
		_, err = stream.Run(ctx, query("SELECT 1"), &countingSink{})
		Expect(asRefusal(err).Reason()).To(Equal(model.ReasonNoGateway))
		Expect(asRefusal(err).Outcome()).To(Equal(model.OutcomeNotRun))
	})

	It("reports the outcome not run if it cannot connect", func(ctx SpecContext) {
		client, server := connect(&fakeGateway{})
		server.Close()
		stream, err := client.Open(ctx, unit(model.AccessWrite))
		Expect(err).NotTo(HaveOccurred())
		_, err = stream.Run(ctx, query("SELECT 1"), &countingSink{})
		Expect(asRefusal(err).Outcome()).To(Equal(model.OutcomeNotRun))
	})

	It("reports an unknown outcome for a write, and not run for a read, if the server closes during it", func(ctx SpecContext) {
		started := make(chan struct{})
		gateway := &fakeGateway{run: func(ctx context.Context, _ wire.Batch, _ wire.Sink) (wire.Result, error) {
			started <- struct{}{}
			<-ctx.Done()
			return wire.Result{}, ctx.Err()
		}}
		for access, outcome := range map[model.Access]model.Outcome{
			model.AccessWrite: model.OutcomeUnknown, model.AccessRead: model.OutcomeNotRun,
		} {
			client, server := connect(gateway)
			stream, err := client.Open(ctx, unit(access))
			Expect(err).NotTo(HaveOccurred())
			done := make(chan error, 1)
			go func() {
				_, err := stream.Run(ctx, query("SELECT 1"), &countingSink{})
				done <- err
			}()
			<-started
			server.Close()
			Expect(asRefusal(<-done).Outcome()).To(Equal(outcome))
		}
	})

	It("cancels the work of a client that closes the connection", func(ctx SpecContext) {
		started, stopped := make(chan struct{}), make(chan struct{})
		gateway := &fakeGateway{run: func(ctx context.Context, _ wire.Batch, _ wire.Sink) (wire.Result, error) {
			close(started)
			<-ctx.Done()
			close(stopped)
			return wire.Result{}, ctx.Err()
		}}
		client, _ := connect(gateway)
		stream, err := client.Open(ctx, unit(model.AccessWrite))
		Expect(err).NotTo(HaveOccurred())
		running, cancel := context.WithCancel(ctx)
		go func() {
			<-started
			cancel()
		}()
		_, err = stream.Run(running, query("SELECT 1"), &countingSink{})
		Expect(asRefusal(err).Outcome()).To(Equal(model.OutcomeUnknown))
		Eventually(stopped, 5*time.Second).Should(BeClosed())
	})

	It("closes idle connections when it drains, and lets open streams finish", func(ctx SpecContext) {
		proceed := make(chan struct{})
		started := make(chan struct{})
		gateway := &fakeGateway{run: func(context.Context, wire.Batch, wire.Sink) (wire.Result, error) {
			started <- struct{}{}
			<-proceed
			return wire.Result{TxStatus: 'I'}, nil
		}}
		client, server := connect(gateway)
		done := make(chan error, 1)
		go func() {
			stream, err := client.Open(ctx, unit(model.AccessWrite))
			if err == nil {
				_, err = stream.Run(ctx, query("SELECT 1"), &countingSink{})
			}
			done <- err
		}()
		<-started
		drained := make(chan error, 1)
		go func() { drained <- server.Drain(ctx) }()
		Consistently(drained, 30*time.Millisecond).ShouldNot(Receive())
		close(proceed)
		Expect(<-done).NotTo(HaveOccurred())
		stream, err := client.Open(ctx, unit(model.AccessWrite))
		Expect(err).NotTo(HaveOccurred())
		_, err = stream.Run(ctx, query("SELECT 1"), &countingSink{})
		Expect(asRefusal(err).Outcome()).To(Equal(model.OutcomeNotRun))
		client.Close()
		Eventually(drained, 5*time.Second).Should(Receive(BeNil()))
	})

	// Such a message took its announced size in memory, without a login.
	It("refuses a password of a gibibyte before it arrives", func(ctx SpecContext) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := link.NewServer(link.ServerConfig{
			Listener: listener, Secret: "secret", MaxConnections: 1,
			Now: func() time.Time { return time.Now().Add(time.Hour) },
		})
		DeferCleanup(server.Close)
		conn, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		startup, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": link.User}}).Encode(nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Write(append(startup, 'p', 0x40, 0, 0, 0, 'x'))
		Expect(err).NotTo(HaveOccurred())
		ended := make(chan error, 1)
		go func() {
			_, err := io.Copy(io.Discard, conn)
			ended <- err
		}()
		Eventually(ended, 5*time.Second).Should(Receive())
	})

	It("rejects a login with a wrong secret", func(ctx SpecContext) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := link.NewServer(link.ServerConfig{Listener: listener, Secret: "secret", MaxConnections: 1, Now: time.Now})
		DeferCleanup(server.Close)
		stream, err := newClient(listener.Addr().String(), "guess").Open(ctx, unit(model.AccessRead))
		Expect(err).NotTo(HaveOccurred())
		_, err = stream.Run(ctx, query("SELECT 1"), &countingSink{})
		Expect(asRefusal(err).Reason()).To(Equal(model.ReasonConnectionLost))
	})
})
