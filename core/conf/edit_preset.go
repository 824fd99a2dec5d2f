package conf

// UsePreset puts a preset in force, and with that takes the former one out.
type UsePreset struct {
	// Preset is the name of a declared preset.
	Preset string `json:"preset"`
}

// apply implements edit.
func (e *UsePreset) apply(d *Document, faults *FaultsError) {
	if _, ok := d.Presets[e.Preset]; !ok {
		faults.add("use_preset.preset", "no preset %q is declared", e.Preset)
		return
	}
	d.Preset = e.Preset
}
