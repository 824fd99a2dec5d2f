package relay

import (
	"encoding/binary"

	"google.golang.org/protobuf/encoding/protowire"
)

// list encodes or decodes a list, whose elements are passed to fields. In the tagged form each element is
// a message in a field of its own.
func list[T any](c *coder, n protowire.Number, v *[]T, fields func(*coder, *T)) {
	switch {
	case !c.decoding:
		encodeList(c, n, *v, fields)
	case c.form == formOrdered:
		*v = decodeOrderedList(c, n, fields)
	default:
		*v = decodeTaggedList(c, n, fields)
	}
}

func encodeList[T any](c *coder, n protowire.Number, elements []T, fields func(*coder, *T)) {
	if len(elements) > maxElements {
		c.err = errElements
		return
	}
	if c.form == formOrdered {
		c.buf = protowire.AppendVarint(c.buf, uint64(len(elements)))
	}
	for i := range elements {
		if c.form == formOrdered {
			fields(c, &elements[i])
			continue
		}
		c.buf = protowire.AppendTag(c.buf, n, protowire.BytesType)
		begin := len(c.buf)
		fields(c, &elements[i])
		c.insertLength(begin)
	}
}

func decodeOrderedList[T any](c *coder, n protowire.Number, fields func(*coder, *T)) []T {
	if !c.present(n, protowire.BytesType) {
		return nil
	}
	count := c.readVarint()
	switch {
	case count > uint64(len(c.buf)):
		// Each element takes one byte or more.
		c.fail(errTruncated)
		return nil
	case count > maxElements:
		c.fail(errElements)
		return nil
	}
	mayEnd := c.mayEnd
	c.mayEnd = false
	var elements []T
	for range count {
		var element T
		if fields(c, &element); c.err != nil {
			return nil
		}
		elements = append(elements, element)
	}
	c.mayEnd = mayEnd
	return elements
}

func decodeTaggedList[T any](c *coder, n protowire.Number, fields func(*coder, *T)) []T {
	var elements []T
	for c.present(n, protowire.BytesType) {
		if len(elements) == maxElements {
			c.fail(errElements)
			return nil
		}
		message := coder{form: c.form, decoding: true, buf: c.readBytes()}
		var element T
		fields(&message, &element)
		if err := message.end(); err != nil {
			c.fail(err)
			return nil
		}
		elements = append(elements, element)
	}
	return elements
}

// texts encodes or decodes a list of texts. In the tagged form an element has no tag of its own.
func texts[T ~string](c *coder, n protowire.Number, v *[]T) {
	list(c, n, v, func(c *coder, t *T) {
		switch {
		case c.decoding && c.form == formOrdered:
			*t = T(c.readBytes())
		case c.decoding:
			*t, c.buf = T(c.buf), nil
		case c.form == formOrdered:
			c.buf = protowire.AppendString(c.buf, string(*t))
		default:
			c.buf = append(c.buf, *t...)
		}
	})
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
