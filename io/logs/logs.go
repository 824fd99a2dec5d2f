// Package logs writes log lines without ever blocking the code that logs: lines are collected
// in a bounded buffer that a goroutine writes out, and lines that don't fit are dropped and
// counted. It also selects the log lines that explain the outcome of a request.
package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBuffer bounds the lines that wait to be written, in bytes. It holds some seconds
	// of output of a busy instance.
	maxBuffer = 512 << 10
	// flushInterval is the time between two flushes.
	flushInterval = 100 * time.Millisecond
	// maxWrite is the size in bytes up to which a write to a pipe is atomic, so that it is
	// never interleaved with writes of other processes (PIPE_BUF on Linux).
	maxWrite = 4096
)

// Writer buffers log lines for an output. It may be used concurrently.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped int
	flushMu sync.Mutex
}

// New returns a writer and starts a goroutine that flushes it to out until the process ends.
func New(out io.Writer) *Writer {
	w := &Writer{out: out}
	go func() {
		for range time.Tick(flushInterval) {
			w.Flush()
		}
	}()
	return w
}

// Write adds one line to the buffer. It never waits for the output and never fails; a line
// that doesn't fit into the buffer is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > maxBuffer {
		w.dropped++
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	return len(line), nil
}

// Flush writes the buffered lines to the output, and a line with the number of dropped lines
// if there are any. It blocks as long as the output does.
func (w *Writer) Flush() {
	w.flushMu.Lock()
	defer w.flushMu.Unlock()
	w.mu.Lock()
	out, dropped := w.buffer, w.dropped
	w.buffer, w.dropped = w.spare[:0], 0
	w.mu.Unlock()
	if dropped > 0 {
		out = fmt.Appendf(out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped)
	}
	for rest := out; len(rest) > 0; {
		n := wholeLines(rest)
		// The error is ignored, because there is nowhere else to report it.
		_, _ = w.out.Write(rest[:n])
		rest = rest[n:]
	}
	w.spare = out
}

// wholeLines returns the length of the complete lines at the start of text that fit into
// maxWrite bytes together, or the length of the first line if it is longer than that.
func wholeLines(text []byte) int {
	if len(text) <= maxWrite {
		return len(text)
	}
	if n := bytes.LastIndexByte(text[:maxWrite], '\n'); n >= 0 {
		return n + 1
	}
	if n := bytes.IndexByte(text, '\n'); n >= 0 {
		return n + 1
	}
	return len(text)
}
