package main

import (
	"fmt"
	"os"
)

// progress shows one line that changes, on a terminal only.
type progress struct {
	out   *os.File
	shown bool
}

// newProgress returns the progress line of out. It stays silent when out is not a
// terminal.
func newProgress(out *os.File) *progress {
	info, err := out.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return &progress{}
	}
	return &progress{out: out}
}

// show replaces the line.
func (p *progress) show(text string) {
	if p.out == nil {
		return
	}
	p.shown = true
	_, _ = fmt.Fprintf(p.out, "\r\x1b[K%s", text)
}

// end leaves the line as it is.
func (p *progress) end() {
	if p.shown {
		_, _ = fmt.Fprintln(p.out)
	}
}
