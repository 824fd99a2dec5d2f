package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"pomelofork/core/conf"
	"pomelofork/io/admin"
)

// adminConfigCommand shows or replaces the configuration.
type adminConfigCommand struct {
	Show    configShowCommand    `cmd:"" help:"Print the configuration document."`
	Replace configReplaceCommand `cmd:"" help:"Replace the configuration with the one in a file."`
}

// configShowCommand prints the configuration document.
type configShowCommand struct{}

// Run prints the document as JSON, whichever output format is chosen.
func (*configShowCommand) Run(a *adminCommand) error {
	document, err := a.document(context.Background())
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(document)
}

// configReplaceCommand replaces the configuration document with the one in a file.
type configReplaceCommand struct {
	File string `arg:"" type:"existingfile" help:"Configuration file."`
}

// Run validates the file and sends it. The version in the file is sent as the expected
// version, so that the fleet refuses a file that was made from an earlier version than the
// current one. A fleet without a configuration expects version zero.
func (c *configReplaceCommand) Run(a *adminCommand) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	config, err := conf.Parse(text)
	if err != nil {
		return &exitError{status: exitInvalid, cause: fmt.Errorf("%s: %w", c.File, err)}
	}
	document := *config.Document()
	document.Changes = nil
	change := conf.Change{Replace: &conf.Replace{Document: document}}
	_, err = a.client().Config(context.Background())
	switch {
	case err == nil:
		change.ExpectedVersion = config.Version()
	case !isNotFound(err):
		return withStatus(err)
	}
	return a.send(context.Background(), change)
}

// isNotFound reports whether an instance answered that what was asked for doesn't exist.
func isNotFound(err error) bool {
	answer := new(admin.APIError)
	return errors.As(err, &answer) && answer.Code() == "not_found"
}
