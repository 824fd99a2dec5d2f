package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"

	"pomelofork/bench/pages"
)

// measuresCommand writes the page of measurements, docs/MEASURES.md, and its JSON form.
type measuresCommand struct {
	Runs  string `required:"" type:"existingdir" help:"Directory of the results that scripts/measure.sh wrote."`
	Parts string `help:"Directory of the policy comparisons that pomelo-load parts wrote: NAME.json and NAME.md."`
	Speed string `help:"File with the output of pomelo-load speed."`
	Out   string `required:"" help:"Markdown file to write."`
	JSON  string `name:"json" required:"" help:"JSON file to write, with all figures."`
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

// readTables returns the content of all files NAME.md of a directory, by NAME.
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
