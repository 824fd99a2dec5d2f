// Package home decides where a statement may run whose route or account is restricted to some regions,
// its homes.
//
// Load pattern: servers and instances of several regions serve one fleet, and at full load, or when a
// server of a home is lost, another region would be the quickest place for a statement.
package home

import (
	"slices"

	"pomelofork/core/model"
)

// Nowhere is a region to which nothing belongs. A statement with this home may run nowhere.
const Nowhere model.Region = "\x00nowhere"

// Of returns the homes of a statement, from those of its route and of its account. Both apply if both
// are restricted. An empty result means no restriction.
func Of(route, account []model.Region) []model.Region {
	switch {
	case len(route) == 0:
		return account
	case len(account) == 0:
		return route
	}
	var both []model.Region
	for _, region := range route {
		if slices.Contains(account, region) {
			both = append(both, region)
		}
	}
	if len(both) == 0 {
		return []model.Region{Nowhere}
	}
	return both
}

// Map tells the regions of failure domains. The zero value knows none.
type Map struct {
	regions map[model.Domain]model.Region
}

// NewMap returns a map with the given regions.
func NewMap(regions map[model.Domain]model.Region) Map { return Map{regions} }

// Allows reports whether a server or an instance in a failure domain may have the text of a statement
// with the given homes. A domain whose region isn't known is in no home.
func (m Map) Allows(homes []model.Region, domain model.Domain) bool {
	if len(homes) == 0 {
		return true
	}
	region := m.regions[domain]
	return region != "" && region != Nowhere && slices.Contains(homes, region)
}

// Unmatched returns those of the homes to which no failure domain belongs.
func (m Map) Unmatched(homes []model.Region) []model.Region {
	known := map[model.Region]bool{}
	for _, region := range m.regions {
		known[region] = true
	}
	var unmatched []model.Region
	for _, region := range homes {
		if !known[region] || region == "" {
			unmatched = append(unmatched, region)
		}
	}
	return unmatched
}
