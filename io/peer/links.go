package peer

import (
	"crypto/tls"
	"sync"
	"time"
)

// links holds one link for each peer address in use.
type links struct {
	tls *tls.Config
	now func() time.Time

	mu        sync.Mutex
	byAddress map[string]*link
	closed    bool
}

func newLinks(secure *tls.Config, now func() time.Time) *links {
	return &links{tls: secure, now: now, byAddress: map[string]*link{}}
}

// to returns the link to an address, and adds it if there is none.
func (l *links) to(address string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	peerLink, ok := l.byAddress[address]
	if !ok {
		peerLink = newLink(address, l.tls, l.now)
		peerLink.closed = l.closed
		l.byAddress[address] = peerLink
	}
	return peerLink
}

// closeUnused closes the links to all addresses that are not in wanted, and those on which
// no call has been made since a time.
func (l *links) closeUnused(wanted map[string]bool, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, peerLink := range l.byAddress {
		if !wanted[address] || peerLink.idleSince(since) {
			peerLink.close()
			delete(l.byAddress, address)
		}
	}
}

// close closes all links for good.
func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, peerLink := range l.byAddress {
		peerLink.close()
	}
}
