package logs_test

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/emul/seed"
	"pomelofork/io/logs"
)

func TestLogs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logs", seed.Suite())
}

// output collects what is written. Unless hold is nil, writes block until it is closed.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
	hold chan struct{}
}

func (o *output) Write(p []byte) (int, error) {
	if o.hold != nil {
		<-o.hold
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// recorder collects each write separately.
type recorder struct {
	mu     sync.Mutex
	writes []string
}

func (r *recorder) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes = append(r.writes, string(b))
	return len(b), nil
}

func (r *recorder) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string{}, r.writes...)
}

var _ = Describe("Writer", func() {
	It("writes lines in the order in which they were logged", func() {
		out := &output{}
		w := logs.New(out)
		log := slog.New(slog.NewJSONHandler(w, nil))
		log.Info("one")
		log.Info("two")
		w.Flush()
		Expect(out.String()).To(MatchRegexp(`(?s)one.*two`))
	})

	It("writes complete lines, at most 4096 bytes at a time unless one line is longer", func() {
		out := &recorder{}
		w := logs.New(out)
		for i := range 200 {
			_, err := w.Write([]byte(strings.Repeat("y", i) + "\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := w.Write([]byte(strings.Repeat("z", 9000) + "\n"))
		Expect(err).NotTo(HaveOccurred())
		w.Flush()
		total := 0
		for _, write := range out.all() {
			Expect(write).To(HaveSuffix("\n"))
			Expect(len(write) <= 4096 || strings.HasPrefix(write, "z")).To(BeTrue())
			total += len(write)
		}
		Expect(total).To(Equal(200*199/2 + 200 + 9001))
	})

	It("never blocks, and reports dropped lines", func() {
		out := &output{hold: make(chan struct{})}
		w := logs.New(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		for range 4096 {
			_, err := w.Write(line)
			Expect(err).NotTo(HaveOccurred())
		}
		close(out.hold)
		w.Flush()
		w.Flush()
		Expect(out.String()).To(ContainSubstring("log lines dropped"))
		Expect(len(out.String())).To(BeNumerically("<", 3<<20))
	})
})

// entryLog is the log of the instance that received the requests. holderLog is the log of the
// instance that holds the rights to monitor the primaries of the services x and y.
const (
	entryLog = `{"time":"2026-01-01T00:00:01Z","msg":"server changed","self":"e","server":"s1","primary":true}
{"time":"2026-01-01T00:00:02Z","msg":"statement answered","self":"e","request":"r0","server":"s9"}
not JSON
  12.3 e {"time":"2026-01-01T00:00:04Z","msg":"attempt to be repeated","self":"e","request":"r1","server":"s1","code":"lost"}
{"time":"2026-01-01T00:00:06Z","msg":"statement answered","self":"e","request":"r1","server":"s2","code":"busy"}
{"time":"2026-01-01T00:00:07Z","msg":"server changed","self":"e","server":"s1"}
`
	holderLog = `{"time":"2026-01-01T00:00:03Z","msg":"service needs another primary","self":"h","primary":"s1","service":"x"}
{"time":"2026-01-01T00:00:03Z","msg":"service needs another primary","self":"h","primary":"s7","service":"y"}
{"time":"2025-12-31T23:00:00Z","msg":"server changed","self":"h","server":"s1"}
`
)

var _ = Describe("Explain", func() {
	It("shows a request's lines and the state changes before them, and nothing else", func() {
		var out bytes.Buffer
		Expect(logs.Explain(&out, "r1", strings.NewReader(entryLog), strings.NewReader(holderLog))).To(Succeed())
		lines := strings.Split(strings.Trim(out.String(), "\n"), "\n")
		Expect(lines).To(HaveLen(4))
		Expect(lines[0]).To(HavePrefix("  {"), "the role of the server that the entry knew")
		Expect(lines[1]).To(ContainSubstring(`"primary":"s1"`))
		Expect(lines[2]).To(And(HavePrefix("> {"), ContainSubstring("attempt to be repeated")))
		Expect(lines[3]).To(ContainSubstring("statement answered"))
	})

	It("finds a request by the start of its identifier, which is all that lines hold of a long one", func() {
		var log, out bytes.Buffer
		id := strings.Repeat("世", 1000)
		slog.New(slog.NewJSONHandler(&log, nil)).Info("statement answered", slog.String("request", logs.Shortened(id)))
		Expect(logs.Explain(&out, id, &log)).To(Succeed())
		Expect(out.String()).To(HavePrefix("> {"))
	})

	It("returns an error if no line names the request", func() {
		Expect(logs.Explain(io.Discard, "r5", strings.NewReader(entryLog))).To(MatchError(ContainSubstring("r5")))
	})
})
