package relay

import (
	"encoding/binary"
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"

	"pomelofork/core/model"
)

// form says how the bodies of messages are encoded on a connection.
type form uint8

// The forms.
const (
	// formOrdered has the values of a message one after the other. Builds before formTagged speak only
	// this one, and their newest messages end it: it doesn't grow any more.
	formOrdered form = iota
	// formTagged has fields with numbers in ascending order, in the wire format of Protocol Buffers. An
	// unknown field is passed over, and one that is missing has its zero value. A field keeps its number
	// and its meaning for good.
	formTagged

	// newestForm is the newest form that this build speaks.
	newestForm = formTagged
)

// NewestForm is the number of the newest form of messages that this build speaks.
const NewestForm = int(newestForm)

// maxElements is the largest number of elements in a list. It is above the number of entries in the store
// of the largest fleet, and bounds what a message allocates.
const maxElements = 1 << 17

// Errors of decoding.
var (
	// errTruncated means that a message is shorter than its content requires, or that a number in
	// it is malformed. Older builds answer requests that they can't decode with this text.
	errTruncated = errors.New("message ends early")
	errOrder     = errors.New("fields of a message are not in ascending order")
	errType      = errors.New("field of a message has another type")
	errRange     = errors.New("number in a message is out of range")
	errElements  = fmt.Errorf("list in a message has more than %d elements", maxElements)
)

// coder encodes the fields of one message, or decodes them. A message passes them in the ascending order
// of their numbers. After the first error of decoding, all further fields get their zero value. Encoding
// only reads the message, whose parts other calls may share.
type coder struct {
	form     form
	decoding bool
	// buf is what was encoded, or what is left to decode.
	buf []byte
	// mayEnd says that a message in the ordered form may end before the next field.
	mayEnd bool
	// next and nextType are the tag that was read last and not used, or zero. last is the number of the
	// tag before. They belong to the decoding of the tagged form.
	next, last protowire.Number
	nextType   protowire.Type
	err        error
}

// fail records the first error and ends the decoding.
func (c *coder) fail(err error) {
	if c.err == nil {
		c.err = err
	}
	c.buf, c.next = nil, 0
}

// laterFields says that builds that speak only the ordered form may lack the fields after the call.
func (c *coder) laterFields() { c.mayEnd = true }

// present reports whether a field follows, and moves to its value. In the tagged form it passes over
// fields with lower numbers.
func (c *coder) present(n protowire.Number, t protowire.Type) bool {
	if c.err != nil {
		return false
	}
	if c.form == formOrdered {
		return !c.mayEnd || len(c.buf) > 0
	}
	for c.next != 0 || c.readTag() {
		switch {
		case c.next > n:
			return false
		case c.next == n && c.nextType != t:
			c.fail(errType)
			return false
		case c.next == n:
			c.next = 0
			return true
		}
		c.skip()
	}
	return false
}

// readTag reads the tag of the next field. It returns false at the end of the message.
func (c *coder) readTag() bool {
	if len(c.buf) == 0 {
		return false
	}
	number, t, size := protowire.ConsumeTag(c.buf)
	if size < 0 {
		c.fail(errTruncated)
		return false
	}
	if number < c.last {
		c.fail(errOrder)
		return false
	}
	c.next, c.last, c.nextType, c.buf = number, number, t, c.buf[size:]
	return true
}

// skip passes over the value of the field whose tag was read last.
func (c *coder) skip() {
	size := protowire.ConsumeFieldValue(c.next, c.nextType, c.buf)
	if size < 0 {
		c.fail(errTruncated)
		return
	}
	c.next, c.buf = 0, c.buf[size:]
}

// end passes over the fields after the last known one. A message in the ordered form may be longer too.
func (c *coder) end() error {
	for c.form == formTagged && (c.next != 0 || c.readTag()) {
		c.skip()
	}
	return c.err
}

// varint encodes a number and returns it, or decodes it. Zero is left out of the tagged form.
func (c *coder) varint(n protowire.Number, v uint64) uint64 {
	if !c.decoding {
		if c.form == formTagged {
			if v == 0 {
				return 0
			}
			c.buf = protowire.AppendTag(c.buf, n, protowire.VarintType)
		}
		c.buf = protowire.AppendVarint(c.buf, v)
		return v
	}
	if !c.present(n, protowire.VarintType) {
		return 0
	}
	return c.readVarint()
}

// readVarint decodes a number without a tag.
func (c *coder) readVarint() uint64 {
	v, size := protowire.ConsumeVarint(c.buf)
	if size < 0 {
		c.fail(errTruncated)
		return 0
	}
	c.buf = c.buf[size:]
	return v
}

// readBytes decodes a text without a tag. The result is a part of the message.
func (c *coder) readBytes() []byte {
	v, size := protowire.ConsumeBytes(c.buf)
	if size < 0 {
		c.fail(errTruncated)
		return nil
	}
	c.buf = c.buf[size:]
	return v
}

// unsigned encodes or decodes a number without a sign.
func unsigned[T ~uint8 | ~uint64](c *coder, n protowire.Number, v *T) {
	got := c.varint(n, uint64(*v))
	if !c.decoding {
		return
	}
	if *v = T(got); uint64(*v) != got {
		*v = 0
		c.fail(errRange)
	}
}

// signed encodes or decodes a number with a sign.
func signed[T ~int | ~int64](c *coder, n protowire.Number, v *T) {
	if got := c.varint(n, protowire.EncodeZigZag(int64(*v))); c.decoding {
		*v = T(protowire.DecodeZigZag(got))
	}
}

// flag encodes or decodes a truth value.
func (c *coder) flag(n protowire.Number, v *bool) {
	if got := c.varint(n, protowire.EncodeBool(*v)); c.decoding {
		*v = got != 0
	}
}

// point encodes or decodes a log point as two fields, n and n+1.
func (c *coder) point(n protowire.Number, p *model.Point) {
	term, pos := p.Term(), p.Pos()
	term = model.Term(c.varint(n, uint64(term)))
	pos = model.Position(c.varint(n+1, uint64(pos)))
	if c.decoding {
		*p = model.NewPoint(term, pos)
	}
}

// text encodes or decodes a text. An empty one is left out of the tagged form.
func text[T ~string](c *coder, n protowire.Number, v *T) {
	switch {
	case c.decoding && c.present(n, protowire.BytesType):
		*v = T(c.readBytes())
	case c.decoding:
		*v = ""
	case c.form == formOrdered:
		c.buf = protowire.AppendString(c.buf, string(*v))
	case *v != "":
		c.buf = protowire.AppendString(protowire.AppendTag(c.buf, n, protowire.BytesType), string(*v))
	}
}

// bytes encodes or decodes a value. No value and one of no bytes are the same.
func (c *coder) bytes(n protowire.Number, v *[]byte) {
	if c.decoding {
		*v = nil
		if c.present(n, protowire.BytesType) {
			*v = append([]byte{}, c.readBytes()...)
		}
		return
	}
	if c.form == formTagged {
		if len(*v) == 0 {
			return
		}
		c.buf = protowire.AppendTag(c.buf, n, protowire.BytesType)
	}
	c.buf = protowire.AppendBytes(c.buf, *v)
}

// texts encodes or decodes a list of texts.
func texts[T ~string](c *coder, n protowire.Number, v *[]T) {
	list(c, n, v, func(element *coder, t *T) {
		if element.decoding && element.form == formTagged {
			*t, element.buf = T(element.buf), nil
			return
		}
		if element.decoding {
			*t = T(element.readBytes())
			return
		}
		if element.form == formTagged {
			element.buf = append(element.buf, *t...)
			return
		}
		element.buf = protowire.AppendString(element.buf, string(*t))
	})
}

// list encodes or decodes a list, whose elements are passed to fields. In the tagged form each element is
// a message in a field of its own.
func list[T any](c *coder, n protowire.Number, v *[]T, fields func(*coder, *T)) {
	switch {
	case c.decoding && c.form == formTagged:
		*v = nil
		for c.present(n, protowire.BytesType) {
			element := coder{form: c.form, decoding: true, buf: c.readBytes()}
			var value T
			fields(&element, &value)
			if err := element.end(); err != nil {
				c.fail(err)
				return
			}
			if len(*v) == maxElements {
				c.fail(errElements)
				return
			}
			*v = append(*v, value)
		}
	case c.decoding:
		*v = nil
		if !c.present(n, protowire.BytesType) {
			return
		}
		count := c.readVarint()
		// Each element takes one byte or more.
		if count > uint64(len(c.buf)) {
			c.fail(errTruncated)
			return
		}
		mayEnd := c.mayEnd
		c.mayEnd = false
		for i := uint64(0); i < count && c.err == nil; i++ {
			var value T
			fields(c, &value)
			*v = append(*v, value)
		}
		c.mayEnd = mayEnd
	case c.form == formTagged:
		for i := range *v {
			c.buf = protowire.AppendTag(c.buf, n, protowire.BytesType)
			begin := len(c.buf)
			fields(c, &(*v)[i])
			c.insertLength(begin)
		}
	default:
		c.buf = protowire.AppendVarint(c.buf, uint64(len(*v)))
		for i := range *v {
			fields(c, &(*v)[i])
		}
	}
}

// insertLength inserts the length of what was encoded from begin on before it.
func (c *coder) insertLength(begin int) {
	size := uint64(len(c.buf) - begin)
	var room [binary.MaxVarintLen64]byte
	width := protowire.SizeVarint(size)
	c.buf = append(c.buf, room[:width]...)
	copy(c.buf[begin+width:], c.buf[begin:begin+int(size)])
	protowire.AppendVarint(c.buf[:begin], size)
}
