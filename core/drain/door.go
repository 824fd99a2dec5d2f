package drain

// Door counts what is inside and can be shut for newcomers. Its zero value is
// open and empty. It is not safe for concurrent use.
type Door struct {
	inside int
	shut   bool
}

// Enter counts one more inside, and returns false when the door is shut.
func (d *Door) Enter() bool {
	if d.shut {
		return false
	}
	d.inside++
	return true
}

// Leave counts one less inside, and reports whether that was the last one behind
// a shut door.
func (d *Door) Leave() bool {
	d.inside--
	return d.shut && d.inside == 0
}

// Shut lets nobody else in, and reports whether nobody is inside.
func (d *Door) Shut() bool {
	d.shut = true
	return d.inside == 0
}

// IsShut reports whether the door lets nobody in.
func (d *Door) IsShut() bool { return d.shut }
