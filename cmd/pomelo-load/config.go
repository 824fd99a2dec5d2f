package main

import (
	"encoding/json"
	"fmt"
	"os"

	"pomelofork/core/conf"
	"pomelofork/core/model"
)

// configCommand generates a configuration of a given size for experiments.
type configCommand struct {
	Services    int     `default:"3" help:"Number of services."`
	Accounts    int     `default:"8" help:"Number of client accounts."`
	Rate        float64 `default:"100" help:"Rate of each account in units of work per second."`
	Burst       int     `default:"100" help:"Burst of each account."`
	Slots       int     `default:"2" help:"Slots of each backend server."`
	Connections int     `default:"16" help:"Connections of each backend server."`
	FirstPort   int     `default:"7500" help:"Port of the first backend server. The ports of two consecutive services are ten apart."`
}

// Settings of the generated services.
const (
	portsPerService    = 10
	serversPerService  = 3
	agedMaxAgeMs       = 2000
	statementTimeoutMs = 5000
)

// document returns the generated configuration.
func (c *configCommand) document() conf.Document {
	doc := conf.Document{
		Format: conf.Format, Version: 1, Preset: "ordinary",
		Presets: map[string]conf.PresetEntry{"ordinary": {RatePercent: 100}},
	}
	for i := range c.Accounts {
		id := fmt.Sprintf("account-%d", i)
		doc.Accounts = append(doc.Accounts, conf.AccountEntry{
			ID: model.AccountID(id), RatePerS: c.Rate, Burst: c.Burst, Share: 1,
			Keys: []conf.KeyEntry{{SHA256: conf.HashKey(demoKeyPrefix + id), Label: "demo"}},
		})
	}
	for i := range c.Services {
		c.addService(&doc, i)
	}
	return doc
}

// addService adds service i with its backend servers and three routes: for writes, for reads
// of the latest data and for reads that accept old data.
func (c *configCommand) addService(doc *conf.Document, i int) {
	id := fmt.Sprintf("service-%d", i)
	service := conf.ServiceEntry{
		ID: model.ServiceID(id), Database: "db", User: "pomelofork", Password: "demo-backend",
		StatementTimeoutMs: statementTimeoutMs,
	}
	for j := range serversPerService {
		service.Servers = append(service.Servers, conf.ServerEntry{
			ID:            model.ServerID(fmt.Sprintf("%s-%c", id, 'a'+j)),
			Address:       fmt.Sprintf("127.0.0.1:%d", c.FirstPort+portsPerService*i+j),
			FailureDomain: model.Domain(fmt.Sprintf("domain-%c", 'a'+(i+j)%4)),
			Slots:         c.Slots, Connections: c.Connections,
		})
	}
	doc.Services = append(doc.Services, service)
	route := func(use, access string, maxAgeMs int64) conf.RouteEntry {
		return conf.RouteEntry{ID: model.RouteID(id + "." + use), Service: service.ID, Access: access, MaxAgeMs: maxAgeMs}
	}
	doc.Routes = append(doc.Routes, route("write", "write", 0), route("fresh", "read", 0), route("aged", "read", agedMaxAgeMs))
}

// Run prints the configuration as JSON, after a check that it is valid.
func (c *configCommand) Run() error {
	doc := c.document()
	if _, err := conf.NewConfig(&doc); err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", " ")
	return encoder.Encode(doc)
}
