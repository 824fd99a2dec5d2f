package conf

import (
	"maps"
	"slices"

	"pomelofork/core/model"
)

// checker validates a document. It holds the faults found so far and the identifiers
// seen so far.
type checker struct {
	faults   FaultsError
	accounts map[model.AccountID]bool
	services map[model.ServiceID]bool
	routes   map[model.RouteID]bool
	servers  map[model.ServerID]model.ServiceID
	address  map[string]model.ServerID
	keys     map[KeyID]model.AccountID
}

// check validates ranges, identifiers and the references between parts of the document.
// The error is a *FaultsError.
func (d *Document) check() error {
	c := &checker{
		accounts: map[model.AccountID]bool{},
		services: map[model.ServiceID]bool{},
		routes:   map[model.RouteID]bool{},
		servers:  map[model.ServerID]model.ServiceID{},
		address:  map[string]model.ServerID{},
		keys:     map[KeyID]model.AccountID{},
	}
	c.header(d)
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
	evacuated := map[model.Domain]bool{}
	for i, domain := range d.EvacuatedDomains {
		unique(c, element("evacuated_domains", i), domain, evacuated)
	}
	c.changes(d)
	return c.faults.orNil()
}

// header validates the fields of the document that are not lists.
func (c *checker) header(d *Document) {
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

// changes validates the recorded changes, which only Apply writes.
func (c *checker) changes(d *Document) {
	if len(d.Changes) > maxChanges {
		c.faults.add("changes", "want at most %d entries", maxChanges)
	}
	last := uint64(0)
	for i, entry := range d.Changes {
		place := element("changes", i)
		c.id(join(place, "id"), entry.ID)
		if entry.Version <= last || entry.Version > d.Version {
			c.faults.add(join(place, "version"), "want increasing versions, none above the version of the document")
		}
		last = max(last, entry.Version)
	}
}

// id validates one identifier. Identifiers are used in session tokens, settings and
// paths, so they must not contain the separators of these.
func (c *checker) id(place, id string) {
	if id == "" {
		c.faults.add(place, "identifier must not be empty")
		return
	}
	if len(id) > maxIDLength {
		c.faults.add(place, "identifier is too long, want at most %d bytes", maxIDLength)
		return
	}
	for i, char := range []byte(id) {
		if !isIDByte(char) || (i == 0 && !isAlphanumeric(char)) {
			c.faults.add(place, "identifier %q: want letters, digits, '.', '_' and '-', starting with a letter or digit", id)
			return
		}
	}
}

// isIDByte reports whether a byte is allowed in an identifier.
func isIDByte(b byte) bool {
	return isAlphanumeric(b) || b == '.' || b == '_' || b == '-'
}

// isAlphanumeric reports whether a byte is an ASCII letter or digit.
func isAlphanumeric(b byte) bool {
	return 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || '0' <= b && b <= '9'
}

// inRange validates that one integer lies between low and high, inclusive.
func (c *checker) inRange(place string, value, low, high int64) {
	if value < low || value > high {
		c.faults.add(place, "%d is out of range, want %d to %d", value, low, high)
	}
}

// unique validates one identifier, reports it if seen contains it already, and adds it
// to seen.
func unique[T ~string](c *checker, place string, id T, seen map[T]bool) {
	c.id(place, string(id))
	if seen[id] {
		c.faults.add(place, "%q is declared more than once", string(id))
	}
	seen[id] = true
}
