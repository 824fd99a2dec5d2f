package store_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/emul/plat"
	"pomelofork/io/store"
)

const (
	hour         = time.Hour
	eventTimeout = time.Minute
)

// setFaults switches faults of an emulator on and off.
func setFaults(url, body string) {
	GinkgoHelper()
	answer, err := http.Post(url+"/control/faults", "application/json", bytes.NewBufferString(body))
	Expect(err).NotTo(HaveOccurred())
	Expect(answer.Body.Close()).To(Succeed())
	Expect(answer.StatusCode).To(Equal(http.StatusOK))
}

var _ = Describe("Client", func() {
	ctx := context.Background()

	// One such entry hid all others.
	for name, entry := range map[string]string{
		"nested deeply":           `{"id":"i2","address":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
		"with a number too large": `{"id":"i2","kind":1e999,"address":{"port":99999}}`,
		"of another type":         `{"x":{"id":"i3"},"id":"i2","state":["live"]}`,
	} {
		It("returns the other instances of a list, and the ID of an entry "+name, func() {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(`{"x":[1],"instances":[{"id":"i1","kind":"entry"}, ` + entry + ` ,{"id":"i4","state":"leaving"}]}`))
			}))
			DeferCleanup(server.Close)
			client := store.NewClient(store.ClientConfig{Address: server.URL})
			DeferCleanup(client.Close)
			Expect(client.Instances(ctx)).To(Equal([]store.ListedInstance{{ID: "i1", Kind: "entry"}, {ID: "i2"}, {ID: "i4", State: "leaving"}}))
		})
	}

	for name, c := range map[string]struct {
		list string
		want []store.ListedInstance
		err  error
	}{
		"without an ID":   {`{"instances":[7,{"id":"i1"},{"id":5},[{}]]}`, []store.ListedInstance{{ID: "i1"}}, store.ErrUnreadableInstance},
		"that is cut":     {`{"instances":[{"id":"i1"},{"id":`, nil, store.ErrUnavailable},
		"that is no list": {`{"instances":{"id":"i1"}}`, nil, store.ErrUnavailable},
	} {
		It("tells a list with an entry or an end "+name, func() {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(c.list)) }))
			DeferCleanup(server.Close)
			client := store.NewClient(store.ClientConfig{Address: server.URL})
			DeferCleanup(client.Close)
			got, err := client.Instances(ctx)
			Expect(got).To(Equal(c.want))
			Expect(err).To(MatchError(c.err))
		})
	}

	It("returns UnknownError for a swap whose answer is lost, and ErrUnavailable for a read", func() {
		server := httptest.NewServer(plat.New(plat.Config{Seed: 1}))
		DeferCleanup(server.Close)
		client := store.NewClient(store.ClientConfig{Address: server.URL + "/"})
		DeferCleanup(client.Close)
		setFaults(server.URL, `{"lose_answers_share":1}`)

		_, err := client.Swap(ctx, store.Swap{Key: "config", Value: "1"})
		Expect(err).To(BeAssignableToTypeOf(new(store.UnknownError)))
		_, err = client.Get(ctx, "config")
		Expect(err).To(MatchError(store.ErrUnavailable))
		setFaults(server.URL, `{"lose_answers_share":0}`)
		Expect(client.Get(ctx, "config")).To(HaveField("Value", "1"))
	})

	It("returns ErrUnavailable when the connection is refused", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		client := store.NewClient(store.ClientConfig{Address: listener.Addr().String()})
		_, err = client.Swap(ctx, store.Swap{Key: "config", Value: "1"})
		Expect(err).To(MatchError(store.ErrUnavailable))
	})

	for name, c := range map[string]struct {
		status int
		body   string
		want   any
	}{
		"server error":           {500, "{}", new(store.UnknownError)},
		"success without a body": {200, "", new(store.UnknownError)},
		"bad request":            {400, `{"error":{"code":"x","message":"y"}}`, new(store.RequestError)},
		"conflict without body":  {409, "", new(store.ConflictError)},
	} {
		It("maps a response to a typed error: "+name, func() {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			DeferCleanup(server.Close)
			client := store.NewClient(store.ClientConfig{Address: strings.TrimPrefix(server.URL, "http://")})
			DeferCleanup(client.Close)
			_, err := client.Swap(ctx, store.Swap{Key: "config", Value: "1"})
			Expect(err).To(BeAssignableToTypeOf(c.want))
		})
	}

	It("does not return ErrUnavailable when a swap exceeds its timeout", func() {
		server := httptest.NewServer(plat.New(plat.Config{Seed: 1}))
		DeferCleanup(server.Close)
		setFaults(server.URL, `{"delay_ms":3600000}`)
		client := store.NewClient(store.ClientConfig{
			Address: strings.TrimPrefix(server.URL, "http://"), Timeout: time.Millisecond,
		})
		DeferCleanup(client.Close)
		_, err := client.Swap(ctx, store.Swap{Key: "config", Value: "1"})
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(store.ErrUnavailable))
	})
})
