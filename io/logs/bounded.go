package logs

import (
	"encoding/json"
	"fmt"
	"io"
	"unicode/utf8"
)

const (
	// maxLogged bounds a line that is logged, in bytes. A few longer ones would fill the buffer of a Writer,
	// and one over maxBuffer would always be lost.
	maxLogged = 4 << 10
	// maxLoggedText and shortLoggedText bound each text in a line that is longer, in bytes. The second one
	// is for a line that the first doesn't make short enough.
	maxLoggedText   = 2 * maxText
	shortLoggedText = 32
	// maxLoggedElements bounds the elements of a list in such a line.
	maxLoggedElements = 16
	// maxBegin bounds what is logged of a line that is too long in spite of these, in bytes.
	maxBegin = 512
)

// Bounded shortens lines over 4 KiB before it passes them on. Each call of Write has to pass one line of JSON.
type Bounded struct{ out io.Writer }

// NewBounded returns a Bounded that writes to out.
func NewBounded(out io.Writer) *Bounded { return &Bounded{out: out} }

// Write writes a line. It returns the length of the line as it was passed to it.
func (b *Bounded) Write(line []byte) (int, error) {
	if len(line) <= maxLogged {
		return b.out.Write(line)
	}
	if _, err := b.out.Write(bounded(line)); err != nil {
		return 0, err
	}
	return len(line), nil
}

// bounded returns a line of at most maxLogged bytes with what a longer one says.
func bounded(line []byte) []byte {
	for _, textSize := range []int{maxLoggedText, shortLoggedText} {
		c := cutter{line: line, textSize: textSize}
		if out := c.cut(); len(out) <= maxLogged {
			return out
		}
	}
	// Marshal doesn't fail for a text.
	begin, _ := json.Marshal(string(line[:maxBegin]))
	return fmt.Appendf(nil, "{\"level\":\"WARN\",\"msg\":\"log line too long\",\"bytes\":%d,\"begin\":%s}\n", len(line), begin)
}

// cutter copies a line of JSON without what exceeds the bounds of its texts and lists.
type cutter struct {
	line []byte
	// textSize is the largest size of a text, in bytes.
	textSize int
	out      []byte
	// depth counts the open lists and objects inside the outermost list, with that list. It is zero
	// outside of lists.
	depth int
	// elements is the number of elements of the outermost list that have ended.
	elements int
}

// cut returns the shortened line. It stops early if that is over maxLogged.
func (c *cutter) cut() []byte {
	for len(c.line) > 0 && len(c.out) <= maxLogged {
		switch first := c.line[0]; {
		case first == '"':
			c.copyText()
			continue
		case first == '[', first == '{' && c.depth > 0:
			c.depth++
		case (first == ']' || first == '}') && c.depth > 0:
			if c.depth--; c.depth == 0 {
				c.elements = 0
			}
		case first == ',' && c.depth == 1:
			c.elements++
		}
		c.copy(1)
	}
	return c.out
}

// skips reports whether the list has had its elements.
func (c *cutter) skips() bool { return c.depth > 0 && c.elements >= maxLoggedElements }

// copy moves past the next bytes, and copies them unless they belong to a part that is left out.
func (c *cutter) copy(size int) {
	if !c.skips() {
		c.out = append(c.out, c.line[:size]...)
	}
	c.line = c.line[size:]
}

// copyText moves past a text, and copies as many of its characters as textSize allows.
func (c *cutter) copyText() {
	c.copy(1)
	for left := c.textSize; len(c.line) > 0 && c.line[0] != '"'; {
		size := c.characterSize()
		if left -= size; left >= 0 {
			c.copy(size)
		} else {
			left = 0
			c.line = c.line[size:]
		}
	}
	c.copy(min(1, len(c.line)))
}

// characterSize returns the number of bytes of the next character of a text, which may be escaped.
func (c *cutter) characterSize() int {
	size := 1
	switch {
	case c.line[0] == '\\' && len(c.line) > 1 && c.line[1] == 'u':
		size = len(`\u0000`)
	case c.line[0] == '\\':
		size = len(`\n`)
	case c.line[0] >= utf8.RuneSelf:
		_, size = utf8.DecodeRune(c.line)
	}
	return min(size, len(c.line))
}
