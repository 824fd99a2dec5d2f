package main

import (
	"io"
	"os"

	"pomelofork/io/logs"
)

// explainCommand shows what instances logged about one request.
type explainCommand struct {
	Request string   `arg:"" help:"Identifier of the request."`
	Logs    []string `arg:"" type:"existingfile" help:"Log files of the instances. Name all that exist, since a request may be logged by several instances."`
}

// Run prints the lines of the request and the state changes around it, ordered by time.
func (c *explainCommand) Run() error {
	readers, closeAll, err := openLogs(c.Logs)
	if err != nil {
		return err
	}
	defer closeAll()
	return logs.Explain(os.Stdout, c.Request, readers...)
}

// openLogs opens log files for reading. The caller calls closeAll.
func openLogs(names []string) (readers []io.Reader, closeAll func(), err error) {
	var files []*os.File
	closeAll = func() {
		for _, file := range files {
			// An error of Close loses no data, since the file is only read.
			_ = file.Close()
		}
	}
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		files, readers = append(files, file), append(readers, file)
	}
	return readers, closeAll, nil
}
