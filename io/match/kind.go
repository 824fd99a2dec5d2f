package match

// Kind is the kind of a frontend message, as far as its answer depends on it.
type Kind uint8

// The kinds of messages that a backend server answers. Flush, CopyData and Terminate
// have no answer of their own, so they have no kind.
const (
	KindQuery Kind = iota + 1
	KindParse
	KindBind
	KindDescribeStatement
	KindDescribePortal
	KindExecute
	KindClose
	KindSync
)

// endsSkipping reports whether a server that skips messages after an error processes
// messages again from one of this kind on.
func (k Kind) endsSkipping() bool { return k == KindSync || k == KindQuery }
