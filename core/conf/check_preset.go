package conf

// preset validates one preset.
func (c *checker) preset(name string, entry PresetEntry) {
	place := join("presets", name)
	c.id(place, name)
	c.inRange(join(place, "rate_percent"), int64(entry.RatePercent), 1, maxPercent)
	if entry.MaxAgePercent != nil {
		c.inRange(join(place, "max_age_percent"), int64(*entry.MaxAgePercent), 0, maxPercent)
	}
	if entry.MaxAgeMs != nil {
		c.inRange(join(place, "max_age_ms"), *entry.MaxAgeMs, 0, maxAgeMs)
	}
	if entry.MaxAgePercent != nil && entry.MaxAgeMs != nil {
		c.faults.add(join(place, "max_age_ms"), "can't be set together with max_age_percent")
	}
}
