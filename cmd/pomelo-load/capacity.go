package main

import (
	"errors"
	"os"

	"pomelofork/bench/pages"
)

// capacityCommand writes the page on capacity, docs/CAPACITY.md, from measured results.
type capacityCommand struct {
	In  string `required:"" type:"existingdir" help:"Directory of the results that scripts/capacity.sh wrote."`
	Out string `required:"" help:"Markdown file to write."`
}

// Run writes the page.
func (c *capacityCommand) Run() error {
	data, err := pages.ReadCapacity(c.In)
	if err != nil {
		return err
	}
	file, err := os.Create(c.Out)
	if err != nil {
		return err
	}
	return errors.Join(pages.WriteCapacity(file, data), file.Close())
}
