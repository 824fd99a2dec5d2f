package script_test

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/emul/seed"
	"pomelofork/io/script"
)

func TestScript(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "script", seed.Suite())
}

func entry(kind script.Kind, forward, show bool) script.Entry {
	return script.NewEntry(script.EntryConfig{Kind: kind, Forward: forward, Show: show})
}

// letters returns the type letters of messages in the order of the protocol.
func letters(messages []pgproto3.BackendMessage) string {
	var text []byte
	for _, m := range messages {
		raw, err := m.Encode(nil)
		Expect(err).NotTo(HaveOccurred())
		text = append(text, raw[0])
	}
	return string(text)
}

var (
	parseDone = &pgproto3.ParseComplete{}
	bindDone  = &pgproto3.BindComplete{}
	row       = &pgproto3.DataRow{}
	finished  = &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}
	failure   = &pgproto3.ErrorResponse{Code: "42601"}
	ready     = &pgproto3.ReadyForQuery{TxStatus: 'I'}
)

var _ = Describe("Queue", func() {
	for name, c := range map[string]struct {
		entries []script.Entry
		answers []pgproto3.BackendMessage
		shown   string
		left    int
	}{
		"all forwarded": {
			[]script.Entry{entry(script.KindParse, true, true), entry(script.KindBind, true, true), entry(script.KindExecute, true, true), entry(script.KindSync, true, true)},
			[]pgproto3.BackendMessage{parseDone, bindDone, row, row, finished, ready}, "12DDCZ", 0,
		},
		"hidden parse": {
			[]script.Entry{entry(script.KindParse, true, false), entry(script.KindBind, true, true), entry(script.KindSync, true, true)},
			[]pgproto3.BackendMessage{parseDone, bindDone, ready}, "2Z", 0,
		},
		"withheld parse between two others": {
			[]script.Entry{entry(script.KindParse, true, true), entry(script.KindParse, false, true), entry(script.KindBind, true, true), entry(script.KindSync, true, true)},
			[]pgproto3.BackendMessage{parseDone, bindDone, ready}, "112Z", 0,
		},
		"withheld parse at the end": {
			[]script.Entry{entry(script.KindParse, false, true), entry(script.KindSync, true, true)},
			[]pgproto3.BackendMessage{ready}, "1Z", 0,
		},
		"withheld and hidden": {
			[]script.Entry{entry(script.KindParse, false, false), entry(script.KindSync, true, true)},
			[]pgproto3.BackendMessage{ready}, "Z", 0,
		},
		"error skips up to Sync": {
			[]script.Entry{entry(script.KindParse, true, true), entry(script.KindParse, false, true), entry(script.KindExecute, true, true), entry(script.KindSync, true, true)},
			[]pgproto3.BackendMessage{failure, ready}, "EZ", 0,
		},
		"error of a hidden parse is shown": {
			[]script.Entry{entry(script.KindParse, true, false), entry(script.KindSync, true, true)},
			[]pgproto3.BackendMessage{failure, ready}, "EZ", 0,
		},
		"hidden query ahead": {
			[]script.Entry{entry(script.KindQuery, true, false), entry(script.KindQuery, true, true)},
			[]pgproto3.BackendMessage{finished, ready, row, finished, ready}, "DCZ", 0,
		},
		"failed hidden query": {
			[]script.Entry{entry(script.KindQuery, true, false), entry(script.KindQuery, true, true)},
			[]pgproto3.BackendMessage{failure, ready, finished, ready}, "CZ", 0,
		},
		"asynchronous message in between": {
			[]script.Entry{entry(script.KindBind, true, false), entry(script.KindSync, true, true)},
			[]pgproto3.BackendMessage{bindDone, &pgproto3.ParameterStatus{Name: "a", Value: "b"}}, "S", 1,
		},
		"describe of a statement": {
			[]script.Entry{entry(script.KindDescribeStatement, true, true), entry(script.KindDescribePortal, true, true)},
			[]pgproto3.BackendMessage{&pgproto3.ParameterDescription{}, &pgproto3.NoData{}, &pgproto3.RowDescription{}}, "tnT", 0,
		},
	} {
		It(name, func() {
			var queue script.Queue
			for _, e := range c.entries {
				queue.Add(e)
			}
			var shown []pgproto3.BackendMessage
			for _, m := range c.answers {
				step, err := queue.Feed(m)
				Expect(err).NotTo(HaveOccurred())
				shown = append(shown, step.Show...)
			}
			Expect(letters(shown)).To(Equal(c.shown))
			Expect(queue.Len()).To(Equal(c.left))
		})
	}

	It("refuses an answer that nobody asked for", func() {
		var queue script.Queue
		_, err := queue.Feed(parseDone)
		Expect(err).To(HaveOccurred())
		queue.Add(entry(script.KindSync, true, true))
		_, err = queue.Feed(bindDone)
		Expect(err).To(HaveOccurred())
	})
})
