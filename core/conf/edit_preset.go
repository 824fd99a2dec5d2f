package conf

// UsePreset is the change that makes another preset the active one.
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
