package main

import (
	"encoding/json"
	"fmt"
	"os"

	"pomelofork/core/conf"
)

// layoutCommand prints parts of a configuration as lines of text, so that scripts need no
// JSON parser.
type layoutCommand struct {
	Config string `required:"" type:"existingfile" help:"Configuration file."`
	Part   string `arg:"" enum:"services,accounts,servers,swap" help:"services: 'number id user password slots connections address'; accounts: 'id rate burst'; servers: 'id service address failure-domain'; swap: body of the compare-and-swap call that stores the configuration."`
}

// readConfig reads and validates a configuration file. Its errors name the file.
func readConfig(path string) (*conf.Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	config, err := conf.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return config, nil
}

// Run prints the part, one line per entry.
func (c *layoutCommand) Run() error {
	config, err := readConfig(c.Config)
	if err != nil {
		return err
	}
	switch c.Part {
	case "services":
		return printServices(config)
	case "servers":
		for _, service := range config.Services() {
			for _, server := range service.Servers() {
				fmt.Println(server.ID(), service.ID(), server.Address(), server.Domain())
			}
		}
	case "accounts":
		for _, account := range config.Accounts() {
			fmt.Println(account.ID(), account.Rate(), account.Burst())
		}
	case "swap":
		return c.printSwap()
	}
	return nil
}

// printServices prints one line per service, with the slots, connections and address of its
// first backend server.
func printServices(config *conf.Config) error {
	for i, service := range config.Services() {
		password, err := service.Password(os.LookupEnv)
		if err != nil {
			return err
		}
		first := service.Servers()[0]
		fmt.Println(i, service.ID(), service.User(), password, first.Slots(), first.Connections(), first.Address())
	}
	return nil
}

// swapBody is the body of the compare-and-swap call on the platform's key-value service.
// An ExpectedRevision of zero means that the key doesn't exist yet.
type swapBody struct {
	Key              string `json:"key"`
	ExpectedRevision uint64 `json:"expected_revision"`
	Value            string `json:"value"`
}

// printSwap prints the body of the call that stores the configuration file under a key that
// doesn't exist yet.
func (c *layoutCommand) printSwap() error {
	text, err := os.ReadFile(c.Config)
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(swapBody{Key: "config", Value: string(text)})
}
