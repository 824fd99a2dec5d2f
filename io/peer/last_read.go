package peer

import "sync"

// readResult describes what the last complete read of a key of the store returned. The
// zero value means that the next read must be complete.
type readResult struct {
	revision uint64
	// epoch is the epoch of the record of rights. It is zero for other keys.
	epoch uint64
}

// lastRead holds a readResult. It is safe for concurrent use.
type lastRead struct {
	mu     sync.Mutex
	result readResult
}

func (l *lastRead) get() readResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.result
}

func (l *lastRead) set(result readResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result = result
}
