package main

import "pomelofork/platform"

// platformCommand runs one instance on the hosting platform of the proxy's users.
type platformCommand struct {
	Config  string   `help:"Settings file in the format of the platform." env:"POMELOFORK_CONFIG" required:""`
	Disable []string `help:"Mechanisms to switch off, to measure what they are worth: see docs/notes/netcraft.md. Not for production."`
}

// Run serves until SIGTERM or an interrupt.
func (c *platformCommand) Run() error { return platform.Run(c.Config, c.Disable) }
