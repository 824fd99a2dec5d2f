package entry

import "sync/atomic"

// budget bounds the memory that the settings of all sessions of an instance take together. It may be used
// concurrently.
type budget struct {
	// limit is in bytes. Zero means none.
	limit int64
	used  atomic.Int64
}

// resize takes the bytes by which something grows, or gives back those by which it shrinks. It returns false, and
// takes none, if they exceed the limit.
func (b *budget) resize(bytes int) bool {
	n := int64(bytes)
	if used := b.used.Add(n); n > 0 && b.limit > 0 && used > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}
