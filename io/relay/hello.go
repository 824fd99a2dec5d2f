package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// helloMark is the first byte of a hello. Builds that know no hello take it for the begin of a message
// above maxMessage, and close the connection.
const helloMark = 0xff

// maxBuildText is the largest length of the name of a build, in bytes.
const maxBuildText = 64

// errNoHello means that the peer closed the connection instead of answering a hello.
var errNoHello = errors.New("peer closed the connection instead of answering a hello")

// hello is what both sides state at the start of a connection, the caller first. Its encoding is the tagged
// form, after helloMark and a byte with its length. The answer states the form of the connection, which is
// at most the caller's.
type hello struct {
	// form is the newest form that the caller speaks, or the one that the answer chose.
	form form
	// build names the version of the program, for log lines. It may be empty.
	build string
}

func (h *hello) fields(c *coder) {
	// A form that this build doesn't know may be above the range of its type.
	n := c.varint(1, uint64(h.form))
	if c.decoding {
		h.form = form(min(n, uint64(newestForm)))
	}
	text(c, 2, &h.build)
}

// writeHello sends a hello. The caller's is longer than the length field of a message, so that a peer
// which knows none doesn't wait for more.
func writeHello(w io.Writer, h hello) error {
	h.build = h.build[:min(len(h.build), maxBuildText)]
	c := coder{form: formTagged, buf: []byte{helloMark, 0}}
	h.fields(&c)
	c.buf[1] = byte(len(c.buf) - 2)
	_, err := w.Write(c.buf)
	return err
}

// readHello reads a hello.
func readHello(in *bufio.Reader) (hello, error) {
	var h hello
	mark, err := in.ReadByte()
	if err != nil {
		return h, err
	}
	if mark != helloMark {
		return h, fmt.Errorf("connection begins with byte %#x, want %#x", mark, helloMark)
	}
	size, err := in.ReadByte()
	if err != nil {
		return h, err
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(in, body); err != nil {
		return h, err
	}
	c := coder{form: formTagged, decoding: true, buf: body}
	h.fields(&c)
	if err := c.end(); err != nil {
		return h, fmt.Errorf("hello: %w", err)
	}
	return h, nil
}

// greet states the newest form on a connection that this process opened, and returns the peer's answer.
// It fails with errNoHello if the peer ends the connection.
func greet(ctx context.Context, conn net.Conn, in *bufio.Reader, build string) (hello, error) {
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return hello{}, err
		}
	}
	if err := writeHello(conn, hello{newestForm, build}); err != nil {
		return hello{}, err
	}
	answer, err := readHello(in)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return hello{}, fmt.Errorf("%w: %w", errUnresponsive, err)
	case errors.Is(err, io.EOF), errors.Is(err, syscall.ECONNRESET):
		return hello{}, fmt.Errorf("%w: %w", errNoHello, err)
	case err != nil:
		return hello{}, err
	}
	return answer, conn.SetDeadline(time.Time{})
}

// accept reads the start of a connection that a peer opened, answers its hello, and returns what it
// states. A peer of an older build begins with a message, whose length starts with a zero byte.
func accept(conn net.Conn, in *bufio.Reader, build string) (hello, error) {
	first, err := in.Peek(1)
	if err != nil || first[0] == 0 {
		return hello{form: formOrdered}, err
	}
	asked, err := readHello(in)
	if err != nil {
		return hello{}, err
	}
	return asked, writeHello(conn, hello{asked.form, build})
}
