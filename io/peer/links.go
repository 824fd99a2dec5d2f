package peer

import (
	"crypto/tls"
	"sync"
	"time"
)

// links holds the link to each peer address.
type links struct {
	tls *tls.Config
	now func() time.Time

	mu        sync.Mutex
	byAddress map[string]*link
	closed    bool
}

// newLinks returns links to nobody.
func newLinks(secure *tls.Config, now func() time.Time) *links {
	return &links{tls: secure, now: now, byAddress: map[string]*link{}}
}

// to returns the link to an address.
func (l *links) to(address string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	found, ok := l.byAddress[address]
	if !ok {
		found = newLink(address, l.tls, l.now)
		found.closed = l.closed
		l.byAddress[address] = found
	}
	return found
}

// keep closes the links to all addresses that are not wanted any more, and those that
// were not used since a time.
func (l *links) keep(wanted map[string]bool, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, found := range l.byAddress {
		if !wanted[address] || found.idleSince(since) {
			found.close()
			delete(l.byAddress, address)
		}
	}
}

// close closes all links for good.
func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, found := range l.byAddress {
		found.close()
	}
}
