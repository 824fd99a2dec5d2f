package relay

import "google.golang.org/protobuf/encoding/protowire"

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
