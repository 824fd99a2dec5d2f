package proxy

import (
	"fmt"
	"sync"

	"pomelofork/io/pack"
	"pomelofork/io/store"
)

const (
	// minPackedSize is the size in bytes from which a value is compressed. Compressing
	// smaller ones costs more processor time than it saves.
	minPackedSize = 2 << 10
	// plainValue and packedValue are the first byte of each value that is sent to a peer.
	// It says whether the rest is compressed.
	plainValue  = 0
	packedValue = 1
)

// maxEncoded bounds the large values that are kept. The configuration is the usual one.
const maxEncoded = 64

// encodedValues encodes values for peers that follow the store through this instance. It
// keeps the large ones, so that each revision is compressed once.
type encodedValues struct {
	mu    sync.Mutex
	byKey map[string]encodedValue
}

// encodedValue is an encoded value, with the revision of its entry.
type encodedValue struct {
	revision uint64
	value    []byte
}

func newEncodedValues() *encodedValues { return &encodedValues{byKey: map[string]encodedValue{}} }

// encode returns the entries with their values encoded.
func (v *encodedValues) encode(entries []store.Entry) []store.Entry {
	out := make([]store.Entry, 0, len(entries))
	for _, e := range entries {
		e.Value = v.encodeValue(e)
		out = append(out, e)
	}
	return out
}

// encodeValue returns the encoded value of an entry.
func (v *encodedValues) encodeValue(e store.Entry) []byte {
	if len(e.Value) < minPackedSize {
		return append([]byte{plainValue}, e.Value...)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if cached, ok := v.byKey[e.Key]; ok && cached.revision == e.Revision {
		return cached.value
	}
	value, err := pack.Pack(e.Value)
	if err != nil {
		// Compressing in memory doesn't fail. If it did, the value could still be sent as it
		// is.
		return append([]byte{plainValue}, e.Value...)
	}
	if len(v.byKey) >= maxEncoded {
		clear(v.byKey)
	}
	v.byKey[e.Key] = encodedValue{e.Revision, append([]byte{packedValue}, value...)}
	return v.byKey[e.Key].value
}

// decode replaces encoded values by the original ones in place.
func decode(entries []store.Entry) error {
	for i, e := range entries {
		if len(e.Value) == 0 {
			return fmt.Errorf("value of %q lacks the byte that says whether it is compressed", e.Key)
		}
		encoding, value := e.Value[0], e.Value[1:]
		if encoding == packedValue {
			var err error
			if value, err = pack.Unpack(value); err != nil {
				return fmt.Errorf("decompress value of %q: %w", e.Key, err)
			}
		}
		entries[i].Value = value
	}
	return nil
}
