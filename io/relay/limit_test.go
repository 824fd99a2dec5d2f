package relay_test

import (
	"errors"
	"log/slog"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/stmt"
	"pomelofork/io/clock"
	"pomelofork/io/relay"
)

const mebibyte = 1 << 20

// largeHandler answers Run with rows, and Look of a service that is a number with an error of that many bytes.
type largeHandler struct {
	handler
	rows []string
	// release ends Run of the order "held".
	release chan struct{}
}

func (h *largeHandler) Run(args *relay.RunRequest, result *relay.RunResponse) error {
	h.seen <- args.Order
	if args.Order.Statement.ID == "held" {
		<-h.release
		return nil
	}
	result.Result.Answer = stmt.Answer{Rows: h.rows, Digest: "d"}
	return nil
}

func (h *largeHandler) Look(args *relay.LookRequest, result *relay.LookResponse) error {
	if size, err := strconv.Atoi(string(args.Service)); err == nil {
		return errors.New(strings.Repeat("x\n", size/2))
	}
	return h.handler.Look(args, result)
}

// Callers waited for the time-out of an answer over the limit, and a request over the limit closed the
// connection with the calls of all other callers on it.
var _ = Describe("A message over the limit", func() {
	var h *largeHandler
	var d *dialer
	var peer *relay.Peer
	var other chan error
	BeforeEach(func() {
		h, d, other = &largeHandler{handler: handler{seen: make(chan stmt.Order, 8)}, release: make(chan struct{})}, &dialer{}, make(chan error, 1)
		address, _, _ := serve(h)
		peer = relay.NewPeer(relay.PeerConfig{Name: "p", Address: address, Dial: d.dial, Log: slog.New(slog.DiscardHandler)})
		go func() {
			_, err := peer.Run(clock.Now(), &relay.RunRequest{Order: stmt.Order{Statement: stmt.Statement{ID: "held"}}}, 20*time.Second)
			other <- err
		}()
		Eventually(h.seen).Should(Receive())
	})
	AfterEach(func() {
		Consistently(other).WithTimeout(50*time.Millisecond).ShouldNot(Receive(), "the call of another caller goes on")
		close(h.release)
		Eventually(other).Should(Receive(BeNil()))
		Expect(d.conns).To(HaveLen(1))
	})

	for name, rows := range map[string][]string{
		"with large rows":    {strings.Repeat("x", 5*mebibyte), strings.Repeat("y", 5*mebibyte)},
		"with many rows":     make([]string, 200_000),
		"with too many rows": make([]string, 9*mebibyte),
	} {
		It("ends only its call if it is an answer "+name+", which ran", func() {
			h.rows = rows
			begun := time.Now()
			_, err := peer.Run(clock.Now(), &relay.RunRequest{}, 15*time.Second)
			Expect(err).To(HaveOccurred())
			Expect(err).NotTo(MatchError(relay.ErrNotSent))
			Expect(time.Since(begun)).To(BeNumerically("<", 10*time.Second))
		})
	}

	for name, order := range map[string]stmt.Order{
		"with long values": {Values: []stmt.Value{{Name: "n", Content: strings.Repeat("x", 9*mebibyte)}}},
		"with many values": {Values: make([]stmt.Value, 200_000)},
	} {
		It("ends only its call if it is an order "+name+", which did not run", func() {
			_, err := peer.Run(clock.Now(), &relay.RunRequest{Order: order}, 15*time.Second)
			Expect(err).To(And(MatchError(relay.ErrNotSent), MatchError(relay.ErrTooLarge)))
			Expect(h.seen).NotTo(Receive())
		})
	}

	for name, c := range map[string]struct {
		order stmt.Order
		code  stmt.Code
	}{
		"a read":                   {stmt.Order{Statement: stmt.Statement{Kind: stmt.KindRead}}, stmt.CodeFailed},
		"a write":                  {stmt.Order{Statement: stmt.Statement{Kind: stmt.KindWrite}}, stmt.CodeInDoubt},
		"a write in a transaction": {stmt.Order{Unit: 1, Statement: stmt.Statement{Kind: stmt.KindWrite}}, stmt.CodeFailed},
		"a commit":                 {stmt.Order{Unit: 1, Statement: stmt.Statement{Kind: stmt.KindCommit}}, stmt.CodeInDoubt},
	} {
		It("is replaced by an answer that says what became of "+name, func() {
			point := model.NewPoint(1, 2)
			for _, rows := range [][]string{{strings.Repeat("x", 9*mebibyte)}, make([]string, 200_000)} {
				response := relay.RunResponse{Result: stmt.Result{Answer: stmt.Answer{Rows: rows, Digest: "d", State: stmt.StateOpen, Point: point}}}
				response.Limit(&c.order)
				answer := response.Result.Answer
				Expect(answer.Text).To(ContainSubstring("too large"))
				answer.Text = ""
				Expect(answer).To(Equal(stmt.Answer{Code: c.code, State: stmt.StateOpen, Point: point}))
			}
			small := relay.RunResponse{Result: stmt.Result{Answer: stmt.Answer{Rows: []string{strings.Repeat("x", 7*mebibyte)}, Digest: "d"}}}
			small.Limit(&c.order)
			Expect(small.Result.Answer.Rows).To(HaveLen(1))
		})
	}

	It("is not what becomes of a long error", func() {
		for _, size := range []int{20 * mebibyte, mebibyte} {
			_, err := peer.Look(clock.Now(), model.ServiceID(strconv.Itoa(size)), 15*time.Second)
			Expect(err).To(MatchError(ContainSubstring("x\nx")))
			Expect(err).NotTo(Or(MatchError(relay.ErrNoAnswer), MatchError(relay.ErrNotSent)))
			Expect(len(err.Error())).To(BeNumerically("<", 2000))
		}
	})
})
