package relay

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/rpc"
	"strings"
	"sync/atomic"
)

const (
	// lengthSize is the size of the length field before each message, in bytes.
	lengthSize = 4
	// runMethod is the method of requests for orders.
	runMethod = serviceName + ".Run"
	// undecodedPrefix begins the error text of the answer to a request that couldn't be decoded.
	undecodedPrefix = "request not decoded: "
	// unknownMethodText begins the text with which net/rpc answers a call of a method that the peer
	// doesn't have.
	unknownMethodText = "rpc: can't find method"
)

// notDecoded reports whether a peer answered with this error because it couldn't decode the request.
// Builds before the tagged form send only the text of errTruncated.
func notDecoded(err error) bool {
	return err.Error() == errTruncated.Error() || strings.HasPrefix(err.Error(), undecodedPrefix)
}

// unknownMethod reports whether a peer answered with this error because it lacks the method.
func unknownMethod(err error) bool { return strings.HasPrefix(err.Error(), unknownMethodText) }

// codec reads and writes the messages on one connection. The client and the server use it.
//
// A message is a length of four bytes, the sequence number, the method, the error text and
// the body: "[len] [seq] [method] [error] [body]". A request has an empty error text. The fields before
// the body are in the ordered form, and the body is in that of the connection.
type codec struct {
	conn io.ReadWriteCloser
	in   *bufio.Reader
	form form
	buf  []byte
	body coder
	out  coder
	// entry identifies the incarnation of the instance that sent orders on this connection.
	// Zero means that none arrived. Only the server uses it.
	entry uint64
	// disconnected is called with entry when the connection ends. The codec calls it
	// rather than the code that serves the connection: ServeCodec returns only after the
	// last call, and that call may be waiting for a transaction of the entry to be rolled
	// back.
	disconnected func(entry uint64)
	// gone is closed when the connection ends, before disconnected is called. Only the server uses it.
	gone chan struct{}
	// undecoded is called with the method of each request that can't be decoded. Only the server uses it.
	undecoded func(method string, err error)
	// method is that of the request that was read last.
	method string
	// answering counts the orders that were read and whose answers haven't been written. It may be nil. Only
	// the server uses it.
	answering *atomic.Int64
}

func newCodec(conn io.ReadWriteCloser, in *bufio.Reader, f form) *codec {
	return &codec{conn: conn, in: in, form: f}
}

// header holds the fields before the body of a message.
type header struct {
	seq          uint64
	method, text string
}

func (h *header) fields(c *coder) {
	unsigned(c, 1, &h.seq)
	text(c, 2, &h.method)
	text(c, 3, &h.text)
}

// beginMessage starts a new message with the fields before its body and leaves room for the
// length.
func (c *codec) beginMessage(h header) {
	h.method, h.text = truncated(h.method), truncated(h.text)
	c.out = coder{buf: append(c.out.buf[:0], 0, 0, 0, 0)}
	h.fields(&c.out)
	c.out.form = c.form
}

// writeMessage encodes the body and writes the message to the connection. It returns ErrTooLarge
// without writing if the message is too large.
func (c *codec) writeMessage(body any) error {
	defer func() {
		if cap(c.out.buf) > maxKeptBuffer {
			c.out.buf = nil
		}
	}()
	if m, ok := body.(message); ok {
		m.fields(&c.out)
	}
	if c.out.err != nil {
		return fmt.Errorf("%w: %w", ErrTooLarge, c.out.err)
	}
	if len(c.out.buf) > maxMessage {
		return fmt.Errorf("%w: %d bytes, at most %d are sent", ErrTooLarge, len(c.out.buf), maxMessage)
	}
	if run, ok := body.(*RunRequest); ok {
		run.sent = true
	}
	binary.BigEndian.PutUint32(c.out.buf, uint32(len(c.out.buf)-lengthSize))
	_, err := c.conn.Write(c.out.buf)
	return err
}

// readHeader reads a whole message, returns the fields before its body, and keeps the body
// for decodeBody.
func (c *codec) readHeader() (h header, err error) {
	var length [lengthSize]byte
	if _, err := io.ReadFull(c.in, length[:]); err != nil {
		return h, err
	}
	size := int(binary.BigEndian.Uint32(length[:]))
	if size > maxMessage {
		return h, fmt.Errorf("message of %d bytes is over the limit of %d", size, maxMessage)
	}
	if cap(c.buf) < size {
		c.buf = make([]byte, size)
	}
	c.buf = c.buf[:size]
	if _, err := io.ReadFull(c.in, c.buf); err != nil {
		return h, err
	}
	c.body = coder{decoding: true, buf: c.buf}
	h.fields(&c.body)
	c.body.form = c.form
	return h, c.body.err
}

// decodeBody decodes the body of the message that readHeader read. A nil body discards it.
func (c *codec) decodeBody(body any) error {
	defer func() {
		if c.body.buf = nil; cap(c.buf) > maxKeptBuffer {
			c.buf = nil
		}
	}()
	m, ok := body.(message)
	if !ok {
		return nil
	}
	m.fields(&c.body)
	if run, ok := m.(*RunRequest); ok {
		c.entry, run.gone = run.Order.Entry, c.gone
	}
	if err := c.body.end(); err != nil {
		return err
	}
	if b, ok := m.(bounded); ok {
		return b.bound()
	}
	return nil
}

// Close implements rpc.ClientCodec and rpc.ServerCodec.
func (c *codec) Close() error { return c.conn.Close() }

// response is what a call gets: the body, or the error of decoding it.
type response struct {
	body message
	err  error
}

// clientCodec is the codec of the instance that makes the calls.
type clientCodec struct{ *codec }

// WriteRequest implements rpc.ClientCodec.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	c.beginMessage(header{seq: r.Seq, method: r.ServiceMethod})
	return c.writeMessage(body)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	h, err := c.readHeader()
	r.Seq, r.ServiceMethod, r.Error = h.seq, h.method, truncated(h.text)
	return err
}

// ReadResponseBody implements rpc.ClientCodec. A response that can't be decoded fails only its call: the
// message was read whole, so the connection can carry the answers to other calls.
func (c clientCodec) ReadResponseBody(body any) error {
	response, ok := body.(*response)
	if !ok {
		return c.decodeBody(body)
	}
	response.err = c.decodeBody(response.body)
	return nil
}

// serverCodec is the codec of the instance that answers the calls. net/rpc calls its read methods one
// after the other.
type serverCodec struct{ *codec }

// ReadRequestHeader implements rpc.ServerCodec.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	h, err := c.readHeader()
	r.Seq, r.ServiceMethod = h.seq, h.method
	c.method = h.method
	if err != nil && c.entry != 0 {
		close(c.gone)
		c.disconnected(c.entry)
		c.entry = 0
	}
	if err == nil {
		c.count(r.ServiceMethod, 1)
	}
	return err
}

// count counts a request for an order, or its answer.
func (c serverCodec) count(method string, change int64) {
	if c.answering != nil && method == runMethod {
		c.answering.Add(change)
	}
}

// ReadRequestBody implements rpc.ServerCodec. net/rpc answers a request that can't be decoded with the
// text of the error, and doesn't run it. The connection stays, since it carries the answers to other calls.
func (c serverCodec) ReadRequestBody(body any) error {
	err := c.decodeBody(body)
	if err == nil {
		return nil
	}
	c.undecoded(c.method, err)
	return fmt.Errorf("%s%w", undecodedPrefix, err)
}

// WriteResponse implements rpc.ServerCodec. The peer gets an error instead of a response over the limit,
// and would otherwise wait for its time-out.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.count(r.ServiceMethod, -1)
	c.beginMessage(header{r.Seq, r.ServiceMethod, r.Error})
	err := c.writeMessage(body)
	if !errors.Is(err, ErrTooLarge) {
		return err
	}
	c.beginMessage(header{r.Seq, r.ServiceMethod, err.Error()})
	return c.writeMessage(nil)
}
