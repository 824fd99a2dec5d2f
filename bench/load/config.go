package load

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"pomelofork/bench/judge"
)

// document is the part of a configuration file that shapes the load.
type document struct {
	Preset  string `json:"preset"`
	Presets map[string]struct {
		RatePercent   float64 `json:"rate_percent"`
		MaxAgePercent *int64  `json:"max_age_percent"`
		MaxAgeMS      *int64  `json:"max_age_ms"`
	} `json:"presets"`
	Accounts []struct {
		ID       string  `json:"id"`
		RatePerS float64 `json:"rate_per_s"`
		Burst    float64 `json:"burst"`
	} `json:"accounts"`
	Services []struct {
		ID string `json:"id"`
	} `json:"services"`
	Routes []documentRoute `json:"routes"`
}

// documentRoute is one route of a configuration file.
type documentRoute struct {
	ID        string   `json:"id"`
	Service   string   `json:"service"`
	Access    string   `json:"access"`
	MaxAgeMS  int64    `json:"max_age_ms"`
	Accounts  []string `json:"accounts"`
	OpenToAll bool     `json:"open_to_all"`
}

// Shape says how a plan follows from a configuration.
type Shape struct {
	// Share is the part of its rate that each account offers.
	Share float64
	// Factors multiply the offer of single accounts.
	Factors map[string]float64
	// KeyOf gives the key of an account.
	KeyOf func(account string) string
}

// PlanFrom fills the services and accounts of a plan from the text of a
// configuration file.
func PlanFrom(text []byte, shape Shape, base Plan) (Plan, error) {
	var doc document
	if err := json.Unmarshal(text, &doc); err != nil {
		return Plan{}, fmt.Errorf("configuration: %w", err)
	}
	ratePercent := 100.0
	if preset, ok := doc.Presets[doc.Preset]; ok && preset.RatePercent > 0 {
		ratePercent = preset.RatePercent
	}
	for _, account := range doc.Accounts {
		rate := judge.Rate{PerSecond: account.RatePerS * ratePercent / 100, Burst: account.Burst}
		factor, ok := shape.Factors[account.ID]
		if !ok {
			factor = 1
		}
		offered := rate.PerSecond * shape.Share * factor
		base.Accounts = append(base.Accounts, Account{
			Name: account.ID, Key: shape.KeyOf(account.ID), Rate: rate, Offered: offered,
			Sessions: sessionsFor(offered, len(doc.Services)),
		})
	}
	for _, service := range doc.Services {
		found, err := doc.service(service.ID)
		if err != nil {
			return Plan{}, err
		}
		base.Services = append(base.Services, found)
	}
	return base, base.Check()
}

// sessionsFor returns enough sessions that an operation seldom waits for the one
// before it, and at least one for each service.
func sessionsFor(offered float64, services int) int {
	const (
		perSession = 4.0 // operations a second
		most       = 60
	)
	return min(most, max(2*services, int(math.Ceil(offered/perSession))))
}

// service finds the routes of a service by use.
func (d *document) service(id string) (Service, error) {
	s := Service{Name: id}
	for _, route := range d.Routes {
		if route.Service != id || route.OpenToAll || len(route.Accounts) > 0 {
			continue
		}
		age := d.ageOf(route)
		found := Route{Name: route.ID, MaxAge: age}
		switch {
		case route.Access == "write" && s.Write.Name == "":
			s.Write = found
		case route.Access != "write" && age > 0 && s.Aged.Name == "":
			s.Aged = found
		case route.Access != "write" && age == 0 && s.Fresh.Name == "":
			s.Fresh = found
		}
	}
	if s.Write.Name == "" || s.Aged.Name == "" || s.Fresh.Name == "" {
		return s, fmt.Errorf("configuration: service %s needs a write route, an aged and a fresh read route for every account", id)
	}
	return s, nil
}

// ageOf returns the age that a route accepts under the preset in force.
func (d *document) ageOf(route documentRoute) time.Duration {
	age := time.Duration(route.MaxAgeMS) * time.Millisecond
	preset := d.Presets[d.Preset]
	switch {
	case age == 0:
		return 0
	case preset.MaxAgeMS != nil:
		return time.Duration(*preset.MaxAgeMS) * time.Millisecond
	case preset.MaxAgePercent != nil:
		return age * time.Duration(*preset.MaxAgePercent) / 100
	}
	return age
}
