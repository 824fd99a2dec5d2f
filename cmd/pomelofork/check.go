package main

import (
	"errors"
	"fmt"
	"os"

	"pomelofork/core/conf"
)

// checkCommand validates a configuration file without sending it to a fleet.
type checkCommand struct {
	File string `arg:"" type:"existingfile" help:"Configuration file."`
}

// Run prints a summary of a valid file, or the faults with their places, one per line.
func (c *checkCommand) Run() error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	config, err := conf.Parse(text)
	faults := new(conf.FaultsError)
	if errors.As(err, &faults) {
		return c.report(faults)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Printf("%s: valid, version %d, preset %s, %d accounts, %d services, %d routes\n", c.File,
		config.Version(), config.Preset(), len(config.Accounts()), len(config.Services()), len(config.Routes()))
	return err
}

// report prints the faults and returns an error with the exit status for an invalid file.
func (c *checkCommand) report(faults *conf.FaultsError) error {
	for _, fault := range faults.Faults() {
		if _, err := fmt.Printf("%s: %s\n", c.File, fault); err != nil {
			return err
		}
	}
	count := len(faults.Faults()) + faults.Omitted()
	return &exitError{status: exitInvalid, cause: fmt.Errorf("%s: invalid configuration, number of faults: %d", c.File, count)}
}
