package relay

import (
	"fmt"
	"strings"

	"pomelofork/core/stmt"
)

const (
	// maxMessage bounds one message, in bytes. It leaves room for a statement of one
	// mebibyte, or for an answer with a few rows of that size, and the other fields.
	maxMessage = 8 << 20
	// maxKeptBuffer bounds the buffers that a connection keeps between messages, each in bytes.
	maxKeptBuffer = 64 << 10
	// maxHeaderText bounds the method and the error text before the body of a message, each in bytes.
	maxHeaderText = 1 << 10
	// otherFields is the room for what an answer has besides its rows, digest and text, in bytes, and
	// rowOverhead what a row takes besides its text.
	otherFields = 64 << 10
	rowOverhead = 8
	// tooLargeText is the text of an answer that is over the limit.
	tooLargeText = "answer is too large to be passed on"
)

// truncated returns the start of a text that goes before the body of a message.
func truncated(text string) string {
	if len(text) <= maxHeaderText {
		return text
	}
	return strings.ToValidUTF8(text[:maxHeaderText], "")
}

// Limit replaces an answer that no message can hold by one which says so. The statement ran: a commit, or
// a write outside of a transaction, is in doubt, and everything else failed after it ran. The order is the
// one that was answered.
func (m *RunResponse) Limit(order *stmt.Order) {
	answer := &m.Result.Answer
	size := otherFields + len(answer.Digest) + len(answer.Text)
	for _, row := range answer.Rows {
		size += len(row) + rowOverhead
	}
	if size <= maxMessage && len(answer.Rows) <= maxElements {
		return
	}
	code := stmt.CodeFailed
	if order.Statement.Kind == stmt.KindCommit || (order.Unit == 0 && order.Writes()) {
		code = stmt.CodeInDoubt
	}
	answer.Rows, answer.Digest, answer.Text = nil, "", fmt.Sprintf("%s: %d bytes", tooLargeText, size)
	if answer.Code == stmt.CodeDone {
		answer.Code = code
	}
}
