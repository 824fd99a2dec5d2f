package conf

import (
	"cmp"
	"slices"
	"time"

	"pomelofork/core/model"
)

// percent is the value that stands for the whole in the percentages of presets.
const percent = 100

// build returns the configuration of a validated document. The text is the document's
// stored form.
func build(d *Document, text []byte) *Config {
	preset := d.Presets[d.Preset]
	c := &Config{document: d, text: text, defaultRoute: map[model.ServiceID]int{}}
	for i := range d.Accounts {
		c.accounts = append(c.accounts, newAccount(&d.Accounts[i], preset))
	}
	for i := range d.Services {
		c.services = append(c.services, newService(&d.Services[i], d.EvacuatedDomains))
	}
	slices.SortFunc(c.accounts, func(a, b Account) int { return cmp.Compare(a.id, b.id) })
	slices.SortFunc(c.services, func(a, b Service) int { return cmp.Compare(a.ID(), b.ID()) })
	for i := range d.Routes {
		c.routes = append(c.routes, newRoute(&d.Routes[i], preset))
	}
	c.accountIndex = indexBy(c.accounts, Account.ID)
	c.serviceIndex = indexBy(c.services, Service.ID)
	c.routeIndex = indexBy(c.routes, Route.ID)
	for i, route := range c.routes {
		if _, known := c.defaultRoute[route.Service()]; !known && route.Access() == model.AccessWrite {
			c.defaultRoute[route.Service()] = i
		}
	}
	return c
}

// indexBy maps the identifier of each element to its index.
func indexBy[K comparable, T any](all []T, id func(T) K) map[K]int {
	indexes := make(map[K]int, len(all))
	for i, each := range all {
		indexes[id(each)] = i
	}
	return indexes
}

// newAccount returns the account that a validated entry declares, with the preset
// applied.
func newAccount(entry *AccountEntry, preset PresetEntry) Account {
	account := Account{
		id:    entry.ID,
		rate:  entry.RatePerS * float64(preset.RatePercent) / percent,
		burst: entry.Burst,
		share: entry.Share,
	}
	for _, key := range entry.Keys {
		account.keys = append(account.keys, newKey(key))
	}
	return account
}

// newService returns the service that a validated entry declares. Its servers in evacuated failure
// domains are draining.
func newService(entry *ServiceEntry, evacuated []model.Domain) Service {
	service := Service{entry: entry}
	for _, server := range entry.Servers {
		server.Draining = server.Draining || slices.Contains(evacuated, server.FailureDomain)
		service.servers = append(service.servers, newServer(server))
	}
	return service
}

// newRoute returns the route that a validated entry declares, with the preset applied.
// A preset changes the accepted age only of routes that accept an age above zero, so
// that reads which must return the latest data still do.
func newRoute(entry *RouteEntry, preset PresetEntry) Route {
	age := entry.MaxAgeMs
	switch {
	case age == 0:
	case preset.MaxAgeMs != nil:
		age = *preset.MaxAgeMs
	case preset.MaxAgePercent != nil:
		age = age * int64(*preset.MaxAgePercent) / percent
	}
	return Route{entry: entry, maxAge: time.Duration(age) * time.Millisecond}
}
