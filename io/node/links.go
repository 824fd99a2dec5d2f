package node

import (
	"sync"

	"pomelofork/io/link"
)

// links keeps one client for each other instance that is or was a gateway.
type links struct {
	mu      sync.Mutex
	open    map[string]*link.Client
	connect func(address string) *link.Client
}

func newLinks(connect func(address string) *link.Client) *links {
	return &links{open: map[string]*link.Client{}, connect: connect}
}

// to returns the client for an address.
func (l *links) to(address string) *link.Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	client, ok := l.open[address]
	if !ok {
		client = l.connect(address)
		l.open[address] = client
	}
	return client
}

// keep closes the clients of addresses that no member has any more.
func (l *links) keep(addresses map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, client := range l.open {
		if !addresses[address] {
			client.Close()
			delete(l.open, address)
		}
	}
}

// close closes every client.
func (l *links) close() { l.keep(nil) }
