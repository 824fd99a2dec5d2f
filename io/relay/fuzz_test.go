package relay

import (
	"bytes"
	"testing"
)

// FuzzMessages decodes each type of message from random bytes. Decoding must not panic, and
// a message that was decoded without an error must be unchanged after encoding and decoding.
func FuzzMessages(f *testing.F) {
	for _, m := range []message{&RunRequest{}, &RunResponse{}, &DrawRequest{}, &DrawResponse{}, &LookRequest{}, &LookResponse{}, &FollowRequest{}, &FollowResponse{}, &ConfirmRequest{}, &ConfirmResponse{}, &WithdrawRequest{}, &WithdrawResponse{}, &EndorseRequest{}, &EndorseResponse{}} {
		var w writer
		m.encode(&w)
		f.Add(w.out)
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01, 0x02})
	f.Fuzz(func(t *testing.T, in []byte) {
		for _, m := range []message{&RunRequest{}, &RunResponse{}, &DrawRequest{}, &DrawResponse{}, &LookRequest{}, &LookResponse{}, &FollowRequest{}, &FollowResponse{}, &ConfirmRequest{}, &ConfirmResponse{}, &WithdrawRequest{}, &WithdrawResponse{}, &EndorseRequest{}, &EndorseResponse{}} {
			r := reader{in: in}
			m.decode(&r)
			if r.err != nil {
				continue
			}
			var first, second writer
			m.encode(&first)
			again := reader{in: first.out}
			m.decode(&again)
			m.encode(&second)
			if again.err != nil || !bytes.Equal(first.out, second.out) {
				t.Fatalf("%T: %x became %x after decoding and encoding (error %v)", m, first.out, second.out, again.err)
			}
		}
	})
}
