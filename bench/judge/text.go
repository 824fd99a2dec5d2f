package judge

import (
	"fmt"
	"strconv"
	"strings"
)

// ItemText is the content of an item. It repeats the item's key, so that an answer
// that belongs to another request shows, and names the write that put it there.
type ItemText struct {
	// Key is the item's own key.
	Key string
	// Writer is the session that wrote it.
	Writer string
	// Counter counts the writes of the item by its writer, from 1.
	Counter int64
}

// textParts is the number of fields in an item's text.
const textParts = 3

// String returns the form that ParseItemText reads.
func (t ItemText) String() string {
	return t.Key + "|" + t.Writer + "|" + strconv.FormatInt(t.Counter, 10)
}

// ParseItemText reads the content of an item.
func ParseItemText(s string) (ItemText, error) {
	parts := strings.Split(s, "|")
	if len(parts) != textParts {
		return ItemText{}, fmt.Errorf("item text %q: want key|writer|counter", s)
	}
	counter, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil {
		return ItemText{}, fmt.Errorf("item text %q: counter: %w", s, err)
	}
	return ItemText{Key: parts[0], Writer: parts[1], Counter: counter}, nil
}

// Tag returns the part of an item's text that both items of a pair share.
func Tag(s string) string {
	_, tag, _ := strings.Cut(s, "|")
	return tag
}
