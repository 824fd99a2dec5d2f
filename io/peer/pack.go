package peer

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sync"
)

// maxDocument bounds a configuration document, in bytes. The store holds no larger value.
const maxDocument = 1 << 20

// Pack compresses a configuration document for its way between instances. Each change
// sends the whole document to every instance, and it is mostly names that repeat.
func Pack(document []byte) ([]byte, error) {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(document); err != nil {
		return nil, fmt.Errorf("pack configuration: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack configuration: %w", err)
	}
	return packed.Bytes(), nil
}

// Unpack reads what Pack wrote. It returns an error for more than the store can hold.
func Unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("unpack configuration: %w", err)
	}
	document, err := io.ReadAll(io.LimitReader(r, maxDocument+1))
	if err != nil {
		return nil, fmt.Errorf("unpack configuration: %w", err)
	}
	if len(document) > maxDocument {
		return nil, fmt.Errorf("unpack configuration: more than %d bytes", maxDocument)
	}
	return document, nil
}

// packer keeps the packed form of the latest version that a peer asked for, since as a
// rule all ask for the same one.
type packer struct {
	mu      sync.Mutex
	version uint64
	packed  []byte
}

// pack returns the packed form of a version's document.
func (p *packer) pack(version uint64, document []byte) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version == version && p.packed != nil {
		return p.packed, nil
	}
	packed, err := Pack(document)
	if err != nil {
		return nil, err
	}
	p.version, p.packed = version, packed
	return packed, nil
}
