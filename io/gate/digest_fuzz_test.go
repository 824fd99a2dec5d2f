package gate

import (
	"bytes"
	"encoding/base64"
	"testing"
)

// FuzzRecordedAnswer checks that texts from the table request_outcomes are read without a
// panic, and that recorded answers are read back for the same request only.
func FuzzRecordedAnswer(f *testing.F) {
	f.Add([]byte("C\x00\x00\x00\x0fINSERT 0 1\x00"))
	f.Add([]byte("S\x00\x00\x00\x17pomelofork.request\x00"))
	f.Add([]byte("S\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, stored []byte) {
		record := outcomeRecord{fingerprint: "f", digest: "d"}
		if _, err := record.decodeAnswer([]string{"f", base64.StdEncoding.EncodeToString(stored)}); err != nil {
			t.Fatal(err)
		}
		_, digest := cutDigest(stored)
		text, err := record.encodeAnswer(stored)
		if err != nil || len(stored) > maxRecordedBytes || !isMessages(stored) {
			return
		}
		got, err := record.decodeAnswer([]string{"f", text})
		if err != nil || !bytes.Equal(got, stored) {
			t.Fatalf("%q became %q, %v (digest %q)", stored, got, err, digest)
		}
		other := outcomeRecord{fingerprint: "f", digest: "e"}
		if got, err := other.decodeAnswer([]string{"f", text}); err != nil || bytes.Equal(got, stored) {
			t.Fatalf("%q was read for another request, %v", stored, err)
		}
	})
}

// isMessages reports whether the bytes are whole messages.
func isMessages(raw []byte) bool {
	for len(raw) >= 5 {
		size := int(uint32(raw[1])<<24|uint32(raw[2])<<16|uint32(raw[3])<<8|uint32(raw[4])) + 1
		if size < 5 || size > len(raw) {
			return false
		}
		raw = raw[size:]
	}
	return len(raw) == 0
}
