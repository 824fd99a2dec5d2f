package relay

import (
	"google.golang.org/protobuf/encoding/protowire"

	"pomelofork/core/model"
)

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
