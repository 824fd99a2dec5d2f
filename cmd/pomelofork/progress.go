package main

import (
	"fmt"
	"os"
)

// progress shows a line that is overwritten as work proceeds.
type progress struct {
	out   *os.File
	shown bool
}

// newProgress returns a progress line on out. It prints nothing if out is not a terminal.
func newProgress(out *os.File) *progress {
	info, err := out.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return &progress{}
	}
	return &progress{out: out}
}

// show replaces the text of the line.
func (p *progress) show(text string) {
	if p.out == nil {
		return
	}
	p.shown = true
	_, _ = fmt.Fprintf(p.out, "\r\x1b[K%s", text)
}

// end completes the line, if any was shown, so that later output starts on a new one.
func (p *progress) end() {
	if p.shown {
		_, _ = fmt.Fprintln(p.out)
	}
}
