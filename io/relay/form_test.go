package relay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/rpc"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"pomelofork/core/stmt"
	"pomelofork/io/clock"
)

// encodeIn returns a message in a form.
func encodeIn(f form, m message) []byte {
	c := coder{form: f}
	m.fields(&c)
	return c.buf
}

// decodeFrom decodes a message.
func decodeFrom(f form, m message, in []byte) error {
	c := coder{form: f, decoding: true, buf: in}
	m.fields(&c)
	return c.end()
}

// recorded returns the messages that builds have sent, by build or form and by name.
func recorded(t *testing.T) map[string]map[string][]byte {
	in, err := os.ReadFile("testdata/forms.txt")
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]map[string][]byte{}
	for line := range strings.Lines(string(in)) {
		source, rest, _ := strings.Cut(strings.TrimSpace(line), ", ")
		name, text, _ := strings.Cut(rest, ":")
		value, err := hex.DecodeString(strings.TrimSpace(text))
		if err != nil {
			t.Fatal(err)
		}
		if out[source] == nil {
			out[source] = map[string][]byte{}
		}
		out[source][name] = value
	}
	return out
}

// asOfOrdered returns a sample without the fields that only the tagged form has.
func asOfOrdered(name string) message {
	m := samples()[name]
	switch m := m.(type) {
	case *LookRequest:
		m.Wait = 0
	case *RunResponse:
		m.Result.OpeningShare = 0
	}
	return m
}

// asOf9b94287 returns a sample without the fields that build 9b94287 didn't have.
func asOf9b94287(name string) message {
	m := asOfOrdered(name)
	switch m := m.(type) {
	case *RunRequest:
		m.Order.Homes = nil
	case *RunResponse:
		m.Result.Waits = nil
	case *FollowRequest:
		m.CheckOnly = false
	}
	return m
}

// Instances of two builds that had landed one after the other failed to decode each other's calls.
func TestRecordedForms(t *testing.T) {
	for source, c := range map[string]struct {
		form   form
		sample func(string) message
		// sent says that this build sends the same bytes.
		sent bool
	}{
		"ordered 9b94287": {formOrdered, asOf9b94287, false},
		"ordered db51426": {formOrdered, asOfOrdered, true},
		"tagged":          {formTagged, func(name string) message { return samples()[name] }, true},
	} {
		messages := recorded(t)[source]
		for _, name := range slices.Sorted(maps.Keys(messages)) {
			want := c.sample(name)
			got := reflect.New(reflect.TypeOf(want).Elem()).Interface().(message)
			if err := decodeFrom(c.form, got, messages[name]); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("%s, %s: decoded %+v (error %v), want %+v", source, name, got, err, want)
			}
			if sent := encodeIn(c.form, want); c.sent && !bytes.Equal(sent, messages[name]) {
				t.Errorf("%s, %s: encoded %x, recorded %x. A field keeps its number and its meaning; a new one gets a new number", source, name, sent, messages[name])
			}
		}
		if c.sent && len(messages) != len(samples()) {
			t.Errorf("%s: %d messages are recorded, want %d", source, len(messages), len(samples()))
		}
	}
}

// A newer build may send fields that this one doesn't know, and leave out those that it doesn't need.
func TestUnknownAndBadFields(t *testing.T) {
	known := encodeIn(formTagged, &WithdrawRequest{Service: "s", Epoch: 3})
	field := func(n protowire.Number, text string) []byte {
		return protowire.AppendString(protowire.AppendTag(nil, n, protowire.BytesType), text)
	}
	for name, c := range map[string]struct {
		in  []byte
		err error
	}{
		"a field with a higher number": {append(slices.Clone(known), field(1000, "later")...), nil},
		"no fields":                    {nil, nil},
		"a body that is cut short":     {append(slices.Clone(known), field(9, "later")[:4]...), errTruncated},
		"a known field cut short":      {known[:len(known)-1], errTruncated},
		"a field of another type":      {field(2, "x"), errType},
		"fields out of order":          {append(slices.Clone(known), field(1, "s")...), errOrder},
		"a field with number zero":     {[]byte{0, 1}, errTruncated},
	} {
		t.Run(name, func(t *testing.T) {
			if err := decodeFrom(formTagged, &WithdrawRequest{}, c.in); err != c.err {
				t.Errorf("error %v, want %v", err, c.err)
			}
		})
	}
	if err := decodeFrom(formTagged, &RunRequest{}, protowire.AppendVarint(protowire.AppendTag(nil, 3, protowire.VarintType), 300)); err != errRange {
		t.Errorf("number of a kind above its range: error %v, want %v", err, errRange)
	}
}

// buildHandler answers the calls of the tests of builds. Embedding the interface gives it the other
// methods, which aren't called.
type buildHandler struct{ Handler }

func (buildHandler) Run(args *RunRequest, result *RunResponse) error {
	result.Result.Answer.Digest = args.Order.Statement.Text
	return nil
}

func (buildHandler) Look(*LookRequest, *LookResponse) error { return nil }

// lookOnly lacks the methods that came later.
type lookOnly struct{}

// Look implements the method of the same name of Handler.
func (lookOnly) Look(*LookRequest, *LookResponse) error { return nil }

// serveOlder serves connections as builds before the tagged form did.
func serveOlder(t *testing.T, listener net.Listener, handler any) {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, handler); err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			codec := newCodec(conn, bufio.NewReader(conn), formOrdered)
			codec.undecoded = func(string, error) {}
			go server.ServeCodec(serverCodec{codec})
		}
	}()
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
}

func listen(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// Calls between builds are answered in the form that both speak, and an order that the other side didn't
// decode isn't reported as one that may have run.
func TestCallsBetweenBuilds(t *testing.T) {
	order := &RunRequest{Order: stmt.Order{Statement: stmt.Statement{Text: "WRITE x y", Kind: stmt.KindWrite}}}
	start := func(t *testing.T) net.Listener {
		listener := listen(t)
		if err := NewServer(ServerConfig{Listener: listener, Handler: buildHandler{}, Build: "new", Log: slog.New(slog.DiscardHandler)}); err != nil {
			t.Fatal(err)
		}
		return listener
	}
	for name, c := range map[string]struct {
		serve func(*testing.T) net.Listener
		want  hello
		err   error
	}{
		"the same build":                {start, hello{formTagged, "new"}, nil},
		"an older build":                {func(t *testing.T) net.Listener { l := listen(t); serveOlder(t, l, buildHandler{}); return l }, hello{}, nil},
		"a build that lacks the method": {func(t *testing.T) net.Listener { l := listen(t); serveOlder(t, l, lookOnly{}); return l }, hello{}, ErrNotSent},
		"something that isn't a pomelofork": {func(t *testing.T) net.Listener {
			l := listen(t)
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					_, _ = fmt.Fprint(conn, "HTTP/1.1 400 Bad Request\r\n\r\n")
				}
			}()
			return l
		}, hello{}, ErrNotSent},
	} {
		t.Run(name, func(t *testing.T) {
			peer := NewPeer(PeerConfig{Address: c.serve(t).Addr().String(), Dial: dialTCP, Build: "own", Log: slog.New(slog.DiscardHandler)})
			got, err := peer.Run(clock.Now(), order, 10*time.Second)
			if c.err != nil {
				if !errors.Is(err, c.err) || errors.Is(err, ErrNoAnswer) {
					t.Errorf("error %v, want %v", err, c.err)
				}
				return
			}
			if err != nil || got.Result.Answer.Digest != "WRITE x y" {
				t.Errorf("got %+v, error %v", got, err)
			}
			if peer.spoken != c.want {
				t.Errorf("the peer stated %+v, want %+v", peer.spoken, c.want)
			}
		})
	}
	t.Run("from an older build", func(t *testing.T) {
		conn, err := net.Dial("tcp4", start(t).Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		client := rpc.NewClientWithCodec(clientCodec{newCodec(conn, bufio.NewReader(conn), formOrdered)})
		defer func() { _ = client.Close() }()
		var got RunResponse
		if err := client.Call(serviceName+".Run", order, &got); err != nil || got.Result.Answer.Digest != "WRITE x y" {
			t.Errorf("got %+v, error %v", got, err)
		}
	})
}

// A statement of a future form is answered with the newest one, and a malformed one closes the connection.
func TestHello(t *testing.T) {
	future := coder{form: formTagged}
	future.varint(1, 1<<40)
	for name, c := range map[string]struct {
		in       []byte
		form     form
		rejected bool
	}{
		"a future form":       {append([]byte{helloMark, byte(len(future.buf))}, future.buf...), newestForm, false},
		"no form":             {[]byte{helloMark, 0}, formOrdered, false},
		"a field that is cut": {[]byte{helloMark, 1, 0x08}, 0, true},
		"another protocol":    {[]byte("GET / HTTP/1.1\r\n\r\n"), 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			listener, rejected := listen(t), make(chan string, 1)
			if err := NewServer(ServerConfig{Listener: listener, Handler: buildHandler{}, Rejected: func(reason string) { rejected <- reason }, Log: slog.New(slog.DiscardHandler)}); err != nil {
				t.Fatal(err)
			}
			conn, err := net.Dial("tcp4", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := conn.Write(c.in); err != nil {
				t.Fatal(err)
			}
			answer, err := readHello(bufio.NewReader(conn))
			if c.rejected {
				if err == nil || <-rejected != rejectedHello {
					t.Errorf("the answer is %+v, want none", answer)
				}
			} else if err != nil || answer.form != c.form {
				t.Errorf("form %d (error %v), want %d", answer.form, err, c.form)
			}
		})
	}
}

// BenchmarkForms compares the cost of encoding and decoding an order and its result.
func BenchmarkForms(b *testing.B) {
	for name, f := range map[string]form{"ordered": formOrdered, "tagged": formTagged} {
		b.Run(name, func(b *testing.B) {
			request, response := &RunRequest{Order: stmt.Order{
				Entry: 1 << 60, Server: "i-7f3a91c2", Account: "tenant-12", Class: "order-entry", Target: 200 * time.Millisecond, Timeout: 1500 * time.Millisecond,
				Statement: stmt.Statement{ID: "5c0e7a21d94b36f8", Text: "READ 1a4", Kind: stmt.KindRead},
			}}, &RunResponse{Result: stmt.Result{Answer: stmt.Answer{Rows: []string{"qhzkwmtrbelo"}, Digest: "7.1f3.c.2b.90e1c4d2a7b3f655"}, Wait: time.Millisecond}}
			var c coder
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				size = 0
				for _, m := range []message{request, response} {
					c = coder{form: f, buf: c.buf[:0]}
					m.fields(&c)
					size += len(c.buf)
					d := coder{form: f, decoding: true, buf: c.buf}
					m.fields(&d)
				}
			}
			b.ReportMetric(float64(size), "bytes/op")
		})
	}
}
