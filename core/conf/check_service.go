package conf

import (
	"net/netip"

	"pomelofork/core/model"
)

// service validates one service and its backend servers.
func (c *checker) service(place string, entry ServiceEntry) {
	unique(c, join(place, "id"), entry.ID, c.services)
	c.id(join(place, "database"), entry.Database)
	c.id(join(place, "user"), entry.User)
	if entry.Password != "" && entry.PasswordEnv != "" {
		c.faults.add(join(place, "password_env"), "can't be set together with password")
	}
	c.inRange(join(place, "statement_timeout_ms"), entry.StatementTimeoutMs, 1, maxTimeoutMs)
	if len(entry.Servers) == 0 {
		c.faults.add(join(place, "servers"), "want one backend server or more")
	}
	for i, server := range entry.Servers {
		c.server(element(join(place, "servers"), i), entry.ID, server)
	}
}

// server validates one backend server.
func (c *checker) server(place string, service model.ServiceID, entry ServerEntry) {
	c.id(join(place, "id"), string(entry.ID))
	if other, ok := c.servers[entry.ID]; ok {
		c.faults.add(join(place, "id"), "%q is already declared in service %q", string(entry.ID), string(other))
	}
	c.servers[entry.ID] = service
	c.serverAddress(join(place, "address"), entry)
	c.id(join(place, "failure_domain"), string(entry.FailureDomain))
	c.inRange(join(place, "slots"), int64(entry.Slots), 1, maxSlots)
	c.inRange(join(place, "connections"), int64(entry.Connections), 1, maxConnections)
	if entry.Connections < entry.Slots {
		c.faults.add(join(place, "connections"), "%d connections are too few for %d slots, which need one each", entry.Connections, entry.Slots)
	}
}

// serverAddress validates the address of one backend server, which no other server may
// have.
func (c *checker) serverAddress(place string, entry ServerEntry) {
	address, err := netip.ParseAddrPort(entry.Address)
	if err != nil || address.Port() == 0 {
		c.faults.add(place, "address %q: want an IP address and a port", entry.Address)
		return
	}
	if other, ok := c.address[address.String()]; ok {
		c.faults.add(place, "%s is already the address of backend server %q", entry.Address, string(other))
	}
	c.address[address.String()] = entry.ID
}
