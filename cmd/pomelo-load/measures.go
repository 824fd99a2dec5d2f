package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"

	"pomelofork/bench/pages"
)

// measuresCommand writes the page of measures and its JSON form.
type measuresCommand struct {
	Runs  string `required:"" type:"existingdir" help:"Directory of the results of scripts/measure.sh."`
	Parts string `help:"Directory of comparisons of single decisions: NAME.json and NAME.md."`
	Speed string `help:"Report on the path, as pomelo-load speed printed it."`
	Out   string `required:"" help:"File for the page."`
	JSON  string `name:"json" required:"" help:"File for all figures."`
}

// Run writes both files.
func (c *measuresCommand) Run() error {
	data, err := pages.ReadMeasures(pages.MeasuresConfig{RunsDir: c.Runs, PartsDir: c.Parts, SpeedFile: c.Speed})
	if err != nil {
		return err
	}
	tables, err := readTables(c.Parts)
	if err != nil {
		return err
	}
	if err := writeJSON(c.JSON, data); err != nil {
		return err
	}
	file, err := os.Create(c.Out)
	if err != nil {
		return err
	}
	return errors.Join(pages.WriteMeasures(file, data, tables), file.Close())
}

// readTables reads the Markdown tables of a directory by name.
func readTables(dir string) (map[string]string, error) {
	tables := map[string]string{}
	paths, err := filepath.Glob(filepath.Join(dir, "*.md"))
	if err != nil {
		return nil, err
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		tables[strings.TrimSuffix(filepath.Base(path), ".md")] = string(text)
	}
	return tables, nil
}
