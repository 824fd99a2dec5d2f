package main

import (
	"os"

	"pomelofork/io/logs"
)

// reasonsCommand counts why operations were refused.
type reasonsCommand struct {
	By   logs.By  `enum:"second,account,server,route,instance" default:"second" help:"What the table has a row for: second, account, server, route or instance."`
	Logs []string `arg:"" type:"existingfile" help:"Log files of the instances."`
}

// Run prints a table of the answers to callers by cause.
func (c *reasonsCommand) Run() error {
	readers, closeAll, err := openLogs(c.Logs)
	if err != nil {
		return err
	}
	defer closeAll()
	return logs.Reasons(os.Stdout, c.By, readers...)
}
