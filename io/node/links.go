package node

import (
	"sync"

	"pomelofork/io/link"
)

// links holds one link client for each address of another instance's gateways.
type links struct {
	mu      sync.Mutex
	open    map[string]*link.Client
	connect func(address string) *link.Client
}

func newLinks(connect func(address string) *link.Client) *links {
	return &links{open: map[string]*link.Client{}, connect: connect}
}

// client returns the link client for an address and creates it if there is none.
func (l *links) client(address string) *link.Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	client, ok := l.open[address]
	if !ok {
		client = l.connect(address)
		l.open[address] = client
	}
	return client
}

// closeExcept closes the clients whose address is not among the given ones.
func (l *links) closeExcept(keep map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, client := range l.open {
		if !keep[address] {
			client.Close()
			delete(l.open, address)
		}
	}
}

// close closes every client.
func (l *links) close() { l.closeExcept(nil) }
