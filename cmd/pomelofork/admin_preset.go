package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"pomelofork/core/conf"
)

// adminPresetCommand holds the commands that list, show and switch presets.
type adminPresetCommand struct {
	List presetListCommand `cmd:"" help:"List the presets and which one is in force."`
	Show presetShowCommand `cmd:"" help:"Show one preset."`
	Use  presetUseCommand  `cmd:"" help:"Put a preset in force in place of the present one."`
}

// presetMessage is the JSON form of a preset in the output.
type presetMessage struct {
	Name    string           `json:"name"`
	InForce bool             `json:"in_force"`
	Preset  conf.PresetEntry `json:"preset"`
}

// presetListCommand lists the presets.
type presetListCommand struct{}

// Run prints one row per preset.
func (*presetListCommand) Run(a *adminCommand) error {
	return printPresets(a, func(string) bool { return true })
}

// presetShowCommand shows one preset.
type presetShowCommand struct {
	Preset string `arg:"" help:"Name of the preset."`
}

// Run prints the preset.
func (c *presetShowCommand) Run(a *adminCommand) error {
	return printPresets(a, func(name string) bool { return name == c.Preset })
}

// printPresets prints the presets for which include returns true, in order of their names. It
// is an error if there is none.
func printPresets(a *adminCommand, include func(name string) bool) error {
	document, err := a.document(context.Background())
	if err != nil {
		return err
	}
	list := []presetMessage{}
	rows := [][]string{{"PRESET", "IN FORCE", "RATE", "MAX AGE", "WRITES"}}
	for _, name := range slices.Sorted(maps.Keys(document.Presets)) {
		if !include(name) {
			continue
		}
		preset := document.Presets[name]
		list = append(list, presetMessage{Name: name, InForce: name == document.Preset, Preset: preset})
		rows = append(rows, presetRow(name, name == document.Preset, preset))
	}
	if len(list) == 0 {
		return &exitError{status: exitNotFound, cause: fmt.Errorf("the configuration declares no such preset")}
	}
	return a.print(list, rows)
}

// presetRow returns the table row of one preset.
func presetRow(name string, inForce bool, preset conf.PresetEntry) []string {
	age, writes := "unchanged", "taken"
	if preset.MaxAgePercent != nil {
		age = fmt.Sprintf("%d%%", *preset.MaxAgePercent)
	}
	if preset.MaxAgeMs != nil {
		age = (time.Duration(*preset.MaxAgeMs) * time.Millisecond).String()
	}
	if preset.RefuseWrites {
		writes = "refused"
	}
	return []string{name, fmt.Sprint(inForce), fmt.Sprintf("%d%%", preset.RatePercent), age, writes}
}

// presetUseCommand puts a preset in force.
type presetUseCommand struct {
	Preset string `arg:"" help:"Name of the preset."`
}

// Run sends the change to the fleet.
func (c *presetUseCommand) Run(a *adminCommand) error {
	return a.change(conf.Change{UsePreset: &conf.UsePreset{Preset: c.Preset}})
}
