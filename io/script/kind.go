package script

// Kind is the kind of message that an entry of a script stands for.
type Kind uint8

// The kinds of messages that a backend server answers. Flush, CopyData and
// Terminate have no answer of their own and are not part of a script.
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

// resumes reports whether a server that skips messages after an error takes up
// work again at a message of this kind.
func (k Kind) resumes() bool { return k == KindSync || k == KindQuery }
