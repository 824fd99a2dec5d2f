package relay

import (
	"errors"
	"fmt"
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
