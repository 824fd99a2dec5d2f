package relay

import (
	"bufio"
	"bytes"
	"reflect"
	"testing"
	"time"
)

// use does with a message what its receivers do.
func use(t *testing.T, m message) {
	now := time.Now()
	for _, at := range usedTimes(now, m) {
		if at.After(now.Add(maxSpan)) || at.Before(now.Add(-maxSpan)) {
			t.Fatalf("%T leads to the time %v", m, at)
		}
	}
	switch m := m.(type) {
	case *RunRequest:
		_ = m.Order.Statement.Kind.String() + m.Order.After.String()
	case *RunResponse:
		_ = m.Result.Answer.Code.String() + m.Result.Answer.Point.String()
		if m.Result.OpeningShare < 0 || m.Result.OpeningShare > 1 {
			t.Fatalf("share of %v", m.Result.OpeningShare)
		}
	case *DrawRequest:
		if m.Need < 0 || m.Ahead < 0 || m.Need+m.Ahead < 0 {
			t.Fatalf("draw of %d and %d tokens", m.Need, m.Ahead)
		}
	}
}

// usedTimes returns the times that follow from the durations in a message.
func usedTimes(now time.Time, m message) []time.Time {
	switch m := m.(type) {
	case *RunRequest:
		return []time.Time{now.Add(m.Order.Target), now.Add(m.Order.Timeout)}
	case *RunResponse:
		return []time.Time{now.Add(m.Result.Wait), now.Add(m.Result.RetryAfter), now.Add(-m.Result.LatestAge)}
	case *FollowResponse:
		return []time.Time{now.Add(-m.Age)}
	case *LookResponse:
		return []time.Time{now.Add(-m.Age), now.Add(-m.ConfigAge)}
	default:
		return nil
	}
}

// FuzzMessages decodes each type of message from random bytes in both forms. Decoding must not panic,
// and a message that was decoded without an error must be unchanged after encoding and decoding.
func FuzzMessages(f *testing.F) {
	for _, m := range samples() {
		f.Add(encodeIn(formOrdered, m))
		f.Add(encodeIn(formTagged, m))
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01, 0x02})
	f.Add([]byte{helloMark, 2, 0x08, 0x01})
	f.Fuzz(func(t *testing.T, in []byte) {
		// A hello that is malformed must not panic either.
		_, _ = readHello(bufio.NewReader(bytes.NewReader(in)))
		for _, form := range []form{formOrdered, formTagged} {
			for _, sample := range samples() {
				m := reflect.New(reflect.TypeOf(sample).Elem()).Interface().(message)
				if decodeFrom(form, m, in) != nil {
					continue
				}
				if b, ok := m.(bounded); ok && b.bound() == nil {
					use(t, m)
				}
				first := encodeIn(form, m)
				err := decodeFrom(form, m, first)
				if second := encodeIn(form, m); err != nil || !bytes.Equal(first, second) {
					t.Fatalf("%T in form %d: %x became %x after decoding and encoding (error %v)", m, form, first, second, err)
				}
			}
		}
	})
}
