package conf

import "pomelofork/core/model"

// Config is a checked configuration. It never changes and is safe for concurrent
// use.
type Config struct {
	document *Document
	text     []byte
	accounts []Account
	services []Service
	routes   []Route
	account  map[model.AccountID]int
	service  map[model.ServiceID]int
	route    map[model.RouteID]int
	writes   map[model.ServiceID]int
}

// Version returns the place in the one line of versions. It starts at 1.
func (c *Config) Version() uint64 { return c.document.Version }

// Preset returns the name of the preset in force.
func (c *Config) Preset() string { return c.document.Preset }

// RefusesWrites reports whether the preset in force refuses requests on write routes.
func (c *Config) RefusesWrites() bool {
	return c.document.Presets[c.document.Preset].RefuseWrites
}

// Document returns the document behind the configuration. The caller must not
// change it.
func (c *Config) Document() *Document { return c.document }

// Text returns the stored form of the document. The caller must not change it.
func (c *Config) Text() []byte { return c.text }

// Accounts returns the client accounts sorted by identifier. The caller must not
// change them.
func (c *Config) Accounts() []Account { return c.accounts }

// Account returns one client account, and false when there is none of that name.
func (c *Config) Account(id model.AccountID) (Account, bool) {
	return lookUp(c.accounts, c.account, id)
}

// Services returns the services sorted by identifier. The caller must not change
// them.
func (c *Config) Services() []Service { return c.services }

// Service returns one service, and false when there is none of that name.
func (c *Config) Service(id model.ServiceID) (Service, bool) {
	return lookUp(c.services, c.service, id)
}

// Routes returns the routes in the document's order. The caller must not change
// them.
func (c *Config) Routes() []Route { return c.routes }

// Route returns one route, and false when there is none of that name.
func (c *Config) Route(id model.RouteID) (Route, bool) {
	return lookUp(c.routes, c.route, id)
}

// DefaultRoute returns the first write route of a service in the document's order,
// and false when it has none.
func (c *Config) DefaultRoute(id model.ServiceID) (Route, bool) {
	return lookUp(c.routes, c.writes, id)
}

// lookUp returns the element whose index stands under id.
func lookUp[K comparable, T any](all []T, indexes map[K]int, id K) (T, bool) {
	index, ok := indexes[id]
	if !ok {
		var none T
		return none, false
	}
	return all[index], true
}

// Draining reports whether an operator has taken a backend server out of use.
func (c *Config) Draining(id model.ServerID) bool {
	for _, service := range c.services {
		if server, ok := service.Server(id); ok {
			return server.Draining()
		}
	}
	return false
}
