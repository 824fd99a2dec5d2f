package conf

import (
	"maps"
	"slices"

	"pomelofork/core/model"
)

// checker holds the faults found so far and the identifiers seen so far.
type checker struct {
	faults   FaultsError
	accounts map[model.AccountID]bool
	services map[model.ServiceID]bool
	routes   map[model.RouteID]bool
	servers  map[model.ServerID]model.ServiceID
	address  map[string]model.ServerID
	keys     map[KeyID]model.AccountID
}

// check judges types, ranges and the document against itself.
func (d *Document) check() error {
	c := &checker{
		accounts: map[model.AccountID]bool{},
		services: map[model.ServiceID]bool{},
		routes:   map[model.RouteID]bool{},
		servers:  map[model.ServerID]model.ServiceID{},
		address:  map[string]model.ServerID{},
		keys:     map[KeyID]model.AccountID{},
	}
	c.head(d)
	for _, name := range slices.Sorted(maps.Keys(d.Presets)) {
		c.preset(name, d.Presets[name])
	}
	for i, entry := range d.Accounts {
		c.account(element("accounts", i), entry)
	}
	for i, entry := range d.Services {
		c.service(element("services", i), entry)
	}
	for i, entry := range d.Routes {
		c.route(element("routes", i), entry)
	}
	c.changes(d)
	return c.faults.orNil()
}

// head judges the fields of the document itself.
func (c *checker) head(d *Document) {
	if d.Format != Format {
		c.faults.add("format", "want %d, not %d", Format, d.Format)
	}
	if d.Version == 0 {
		c.faults.add("version", "want 1 or more")
	}
	if _, ok := d.Presets[d.Preset]; !ok {
		c.faults.add("preset", "no preset %q is declared under presets", d.Preset)
	}
}

// changes judges the remembered changes, which only the change engine writes.
func (c *checker) changes(d *Document) {
	if len(d.Changes) > maxChanges {
		c.faults.add("changes", "want %d at the most", maxChanges)
	}
	last := uint64(0)
	for i, entry := range d.Changes {
		place := element("changes", i)
		c.id(join(place, "id"), entry.ID)
		if entry.Version <= last || entry.Version > d.Version {
			c.faults.add(join(place, "version"), "want versions that grow up to the document's")
		}
		last = max(last, entry.Version)
	}
}

// id judges one identifier. Identifiers stand in session tokens, settings and
// paths, so they hold no separator of those.
func (c *checker) id(place, id string) {
	if id == "" {
		c.faults.add(place, "want an identifier")
		return
	}
	if len(id) > maxIDLength {
		c.faults.add(place, "want %d bytes at the most", maxIDLength)
		return
	}
	for i, char := range []byte(id) {
		if !isIDByte(char) || (i == 0 && !isAlphanumeric(char)) {
			c.faults.add(place, "identifier %q: want letters, digits and . _ - with a letter or digit first", id)
			return
		}
	}
}

// isIDByte reports whether a byte may stand in an identifier.
func isIDByte(b byte) bool {
	return isAlphanumeric(b) || b == '.' || b == '_' || b == '-'
}

// isAlphanumeric reports whether a byte is a letter or a digit of ASCII.
func isAlphanumeric(b byte) bool {
	return 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || '0' <= b && b <= '9'
}

// within judges one whole number.
func (c *checker) within(place string, value, low, high int64) {
	if value < low || value > high {
		c.faults.add(place, "%d is out of range, want %d to %d", value, low, high)
	}
}

// unique judges one identifier and records it in seen.
func unique[T ~string](c *checker, place string, id T, seen map[T]bool) {
	c.id(place, string(id))
	if seen[id] {
		c.faults.add(place, "%q is declared more than once", string(id))
	}
	seen[id] = true
}
