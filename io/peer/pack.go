package peer

import (
	"sync"

	"pomelofork/io/pack"
)

// packer caches the compressed document of the version that was requested last, because
// most peers request the same version.
type packer struct {
	mu      sync.Mutex
	version uint64
	packed  []byte
}

// pack returns the compressed form of a version's document.
func (p *packer) pack(version uint64, document []byte) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version == version && p.packed != nil {
		return p.packed, nil
	}
	packed, err := pack.Pack(document)
	if err != nil {
		return nil, err
	}
	p.version, p.packed = version, packed
	return packed, nil
}
