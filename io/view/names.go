package view

import (
	"errors"
	"fmt"

	"pomelofork/core/plan"
	"pomelofork/io/store"
)

// maxServerText bounds each text of a backend server's entry, in bytes. They go into messages to the server and
// into entries that the instances write, which have limits of their own.
const maxServerText = 1 << 10

// errNoServerID means that the key of a backend server's entry has no identifier. An empty one stands for no server.
var errNoServerID = errors.New("key has no identifier of a server")

// decodeServer decodes the entry of a backend server. It fails if it has no identifier or if one of its
// texts is too long.
func (v *View) decodeServer(e store.Entry) (plan.Server, error) {
	server, _, err := v.config.Decoder.Server(e)
	if err != nil {
		return plan.Server{}, err
	}
	if server.ID == "" {
		return plan.Server{}, errNoServerID
	}
	for _, text := range [...]struct{ name, value string }{
		{"service", string(server.Service)}, {"failure domain", string(server.Domain)}, {"address", server.Address},
	} {
		if len(text.value) > maxServerText {
			return plan.Server{}, fmt.Errorf("%s has %d bytes, at most %d are allowed", text.name, len(text.value), maxServerText)
		}
	}
	return server, nil
}
