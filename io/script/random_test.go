package script_test

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"pgregory.net/rapid"

	"pomelofork/emul/seed"
	"pomelofork/io/script"
)

// request is one message of a random batch and what the server says to it.
type request struct {
	Kind    script.Kind
	Forward bool
	Show    bool
	Rows    int
	Fails   bool
}

var requests = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) request {
	kind := script.Kind(rapid.IntRange(int(script.KindQuery), int(script.KindSync)).Draw(t, "kind"))
	withholdable := kind == script.KindParse || kind == script.KindClose
	return request{
		Kind:    kind,
		Forward: !withholdable || rapid.Bool().Draw(t, "forward"),
		Show:    rapid.Bool().Draw(t, "show"),
		Rows:    rapid.IntRange(0, 3).Draw(t, "rows"),
		Fails:   kind != script.KindSync && rapid.IntRange(0, 5).Draw(t, "fails") == 0,
	}
}), 0, 20)

// saying is one message of the server, or made up in its place.
type saying struct {
	message pgproto3.BackendMessage
	of      request
}

// transcript returns what a server would say to every request, had it got all of
// them. Requests that aren't forwarded never fail by themselves.
func transcript(all []request) []saying {
	var out []saying
	skipping := false
	for _, r := range all {
		if skipping && r.Kind != script.KindSync && r.Kind != script.KindQuery {
			continue
		}
		skipping = false
		failing := r.Fails && r.Forward
		for _, m := range says(r, failing) {
			out = append(out, saying{m, r})
		}
		skipping = failing && r.Kind != script.KindQuery
	}
	return out
}

// says returns the answer to one request.
func says(r request, failing bool) []pgproto3.BackendMessage {
	var rows []pgproto3.BackendMessage
	for range r.Rows {
		rows = append(rows, row)
	}
	switch {
	case r.Kind == script.KindQuery && failing:
		return append(rows, failure, ready)
	case failing:
		return []pgproto3.BackendMessage{failure}
	}
	switch r.Kind {
	case script.KindQuery:
		return append(append(rows, finished), ready)
	case script.KindParse:
		return []pgproto3.BackendMessage{parseDone}
	case script.KindBind:
		return []pgproto3.BackendMessage{bindDone}
	case script.KindDescribeStatement:
		return []pgproto3.BackendMessage{&pgproto3.ParameterDescription{}, &pgproto3.NoData{}}
	case script.KindDescribePortal:
		return []pgproto3.BackendMessage{&pgproto3.RowDescription{}}
	case script.KindExecute:
		return append(rows, finished)
	case script.KindClose:
		return []pgproto3.BackendMessage{&pgproto3.CloseComplete{}}
	}
	return []pgproto3.BackendMessage{ready}
}

// visible reports whether a message is to be passed on.
func visible(s saying) bool {
	if _, isError := s.message.(*pgproto3.ErrorResponse); isError {
		return s.of.Show || s.of.Kind != script.KindQuery
	}
	return s.of.Show
}

// TestAnswersKeepTheirPlaces compares the queue with a transcript in which nothing
// was withheld or hidden.
func TestAnswersKeepTheirPlaces(t *testing.T) {
	if err := seed.Fix(); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		all := append(requests.Draw(t, "requests"), request{Kind: script.KindSync, Forward: true, Show: true})
		var queue script.Queue
		for _, r := range all {
			queue.Add(script.NewEntry(script.EntryConfig{Kind: r.Kind, Forward: r.Forward, Show: r.Show}))
		}
		var want, got []pgproto3.BackendMessage
		for _, s := range transcript(all) {
			if visible(s) {
				want = append(want, s.message)
			}
			if !s.of.Forward {
				continue
			}
			step, err := queue.Feed(s.message)
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, step.Show...)
		}
		if kinds(t, got) != kinds(t, want) {
			t.Fatalf("passed on %s, want %s", kinds(t, got), kinds(t, want))
		}
		if queue.Len() != 0 {
			t.Fatalf("%d entries are left", queue.Len())
		}
	})
}

// kinds returns the type letters of messages.
func kinds(t *rapid.T, messages []pgproto3.BackendMessage) string {
	var text []byte
	for _, m := range messages {
		raw, err := m.Encode(nil)
		if err != nil {
			t.Fatal(err)
		}
		text = append(text, raw[0])
	}
	return string(text)
}
