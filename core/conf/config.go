package conf

import "pomelofork/core/model"

// Config is a validated configuration. It is immutable and safe for concurrent use.
type Config struct {
	document *Document
	text     []byte
	accounts []Account
	services []Service
	routes   []Route

	// The indexes map identifiers to positions in the slices above.
	accountIndex map[model.AccountID]int
	serviceIndex map[model.ServiceID]int
	routeIndex   map[model.RouteID]int
	// defaultRoute maps a service to the position of its first write route.
	defaultRoute map[model.ServiceID]int
}

// Version returns the version number. It starts at 1, and each accepted change raises
// it by 1.
func (c *Config) Version() uint64 { return c.document.Version }

// Preset returns the name of the active preset.
func (c *Config) Preset() string { return c.document.Preset }

// RefusesWrites reports whether the active preset refuses requests on write routes.
func (c *Config) RefusesWrites() bool {
	return c.document.Presets[c.document.Preset].RefuseWrites
}

// Document returns the document that the configuration was built from. The caller must
// not modify it.
func (c *Config) Document() *Document { return c.document }

// Text returns the JSON text that the configuration was parsed from. The caller must
// not modify it.
func (c *Config) Text() []byte { return c.text }

// Accounts returns the client accounts sorted by identifier. The caller must not
// modify the slice.
func (c *Config) Accounts() []Account { return c.accounts }

// Account returns the client account with the given identifier, and false if there is
// none.
func (c *Config) Account(id model.AccountID) (Account, bool) {
	return lookUp(c.accounts, c.accountIndex, id)
}

// Services returns the services sorted by identifier. The caller must not modify the
// slice.
func (c *Config) Services() []Service { return c.services }

// Service returns the service with the given identifier, and false if there is none.
func (c *Config) Service(id model.ServiceID) (Service, bool) {
	return lookUp(c.services, c.serviceIndex, id)
}

// Routes returns the routes in the order of the document. The caller must not modify
// the slice.
func (c *Config) Routes() []Route { return c.routes }

// Route returns the route with the given identifier, and false if there is none.
func (c *Config) Route(id model.RouteID) (Route, bool) {
	return lookUp(c.routes, c.routeIndex, id)
}

// DefaultRoute returns the first write route of a service in the order of the
// document, and false if the service has none.
func (c *Config) DefaultRoute(id model.ServiceID) (Route, bool) {
	return lookUp(c.routes, c.defaultRoute, id)
}

// lookUp returns the element whose position the index holds for id, and false if it
// holds none.
func lookUp[K comparable, T any](all []T, indexes map[K]int, id K) (T, bool) {
	index, ok := indexes[id]
	if !ok {
		var none T
		return none, false
	}
	return all[index], true
}

// Draining reports whether an operator has set a backend server to draining, or evacuated
// its failure domain. It is false for a server that is not declared.
func (c *Config) Draining(id model.ServerID) bool {
	for _, service := range c.services {
		if server, ok := service.Server(id); ok {
			return server.Draining()
		}
	}
	return false
}
