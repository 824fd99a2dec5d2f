package node

import (
	"context"
	"log/slog"
	"net"

	"pomelofork/io/event"
	"pomelofork/io/sock"
)

// persist makes the listeners go on after errors that pass, such as a lack of descriptors.
func (n *Node) persist() {
	for name, listener := range map[string]*net.Listener{
		"callers": &n.config.CallerListener, "gateways": &n.config.LinkListener, "peers": &n.config.PeerListener, "administration": &n.config.AdminListener,
	} {
		if *listener == nil {
			continue
		}
		persistent := sock.NewPersistent(sock.PersistentConfig{Listener: *listener, Changed: func(err error) {
			if err != nil {
				event.Log(context.Background(), n.config.Logger, event.AcceptFailed, slog.String("listener", name), slog.String("error", err.Error()))
				return
			}
			event.Log(context.Background(), n.config.Logger, event.AcceptResumed, slog.String("listener", name))
		}})
		if *listener = persistent; name == "callers" {
			n.accepting = persistent
		}
	}
}
