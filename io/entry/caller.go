package entry

import (
	"errors"
	"time"

	"pomelofork/core/stmt"
)

// ErrTooLarge is returned by a Caller for a message above the size limit.
var ErrTooLarge = errors.New("message over the size limit")

// ErrMalformed is returned by a Caller for bytes whose end as a message can't be told, so that what follows
// can't be read.
var ErrMalformed = errors.New("malformed message")

// Opening is what a caller sends to start a session.
type Opening struct {
	// Database is the name of the route.
	Database string
	// Key is the caller's key. It is empty if the caller sent none.
	Key string
}

// Caller is the connection of one caller. Each platform implements it for its protocol.
type Caller interface {
	// Open reads the opening. It returns io.EOF if the caller closed the connection
	// instead, and ErrTooLarge for an opening above the size limit.
	Open() (Opening, error)
	// Accept tells the caller that the session is open.
	Accept() error
	// Refuse sends the code and text of answer to a caller whose opening is refused or
	// whose session ends.
	Refuse(answer stmt.Answer) error
	// Next waits for the next statement. It returns io.EOF when the caller ends the
	// session, ErrTooLarge for a message above the size limit, ErrMalformed for one whose end
	// can't be told, and os.ErrDeadlineExceeded at the read deadline. A statement that can't be parsed has KindInvalid.
	Next() (stmt.Statement, error)
	// Reply sends the answer to the statement that Next returned last.
	Reply(answer stmt.Answer) error
	// Notify sends the code and text of answer to a caller while none of its statements has been read. To
	// a caller that has just sent one they are the answer, and the next Reply only completes it.
	Notify(answer stmt.Answer) error
	// Buffered reports whether at least a part of the next statement has been received.
	Buffered() bool
	// SetReadDeadline makes Next fail at the given time, also a Next that is waiting
	// already. The zero time means no deadline.
	SetReadDeadline(deadline time.Time) error
	// Close closes the connection.
	Close() error
}
