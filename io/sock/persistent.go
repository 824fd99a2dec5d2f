package sock

import (
	"net"
	"os"
	"sync"
	"time"

	"pomelofork/io/clock"
)

const (
	// acceptPause is the pause after a connection could not be accepted.
	acceptPause = 20 * time.Millisecond
	// rejectTimeout is the time in which a waiting connection is accepted to be rejected.
	rejectTimeout = 10 * time.Millisecond
	// failingFor is the time after a failure for which a Persistent counts as failing.
	failingFor = time.Second
)

// PersistentConfig holds the settings of a Persistent.
type PersistentConfig struct {
	// Listener accepts the connections.
	Listener net.Listener
	// Changed is called with an error when connections can't be accepted any more, and with nil when one
	// was accepted again. It may be nil.
	Changed func(error)
}

// Persistent is a listener whose Accept goes on after an error that passes, such as a lack of
// descriptors. Meanwhile it closes the connections that wait, rather than let them wait for an answer.
type Persistent struct {
	config PersistentConfig

	mu       sync.Mutex
	failedAt time.Time
	failing  bool
	closed   bool
	// spare keeps a descriptor for the connections to be closed. It is nil if there was none left.
	spare *os.File
}

// NewPersistent returns a listener that uses another one.
func NewPersistent(c PersistentConfig) *Persistent {
	l := &Persistent{config: c}
	l.reserve()
	return l
}

// Accept implements net.Listener. It fails only when the listener is closed or can't be used.
func (l *Persistent) Accept() (net.Conn, error) {
	for {
		conn, err := l.config.Listener.Accept()
		if err == nil {
			l.record(nil)
			return conn, nil
		}
		if !passes(err) {
			return nil, err
		}
		l.record(err)
		if Exhausted(err) {
			l.reject()
		}
		time.Sleep(acceptPause)
	}
}

// record records the outcome of an attempt, and reports whether accepting fails if that has changed.
func (l *Persistent) record(err error) {
	l.mu.Lock()
	changed := l.failing != (err != nil)
	l.failing = err != nil
	if err != nil {
		l.failedAt = clock.Now()
	}
	l.mu.Unlock()
	if changed && l.config.Changed != nil {
		l.config.Changed(err)
	}
}

// reject closes one waiting connection.
func (l *Persistent) reject() {
	limited, ok := l.config.Listener.(interface{ SetDeadline(time.Time) error })
	l.mu.Lock()
	spare := l.spare
	l.spare = nil
	l.mu.Unlock()
	if ok && spare != nil && spare.Close() == nil && limited.SetDeadline(time.Now().Add(rejectTimeout)) == nil {
		if conn, err := l.config.Listener.Accept(); err == nil {
			// The connection isn't used, so an error of closing it doesn't matter.
			_ = conn.Close()
		}
		// After an error the next Accept fails as well.
		_ = limited.SetDeadline(time.Time{})
	}
	l.reserve()
}

// reserve takes a descriptor in reserve, if there is one and it has none.
func (l *Persistent) reserve() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.spare != nil || l.closed {
		return
	}
	if spare, err := os.Open(os.DevNull); err == nil {
		l.spare = spare
	}
}

// Failing reports whether connections could not be accepted a moment ago.
func (l *Persistent) Failing(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.failedAt.IsZero() && now.Sub(l.failedAt) < failingFor
}

// Close implements net.Listener.
func (l *Persistent) Close() error {
	l.mu.Lock()
	l.closed = true
	if l.spare != nil {
		// An error of closing it doesn't matter, since nothing was written.
		_ = l.spare.Close()
		l.spare = nil
	}
	l.mu.Unlock()
	return l.config.Listener.Close()
}

// Addr implements net.Listener.
func (l *Persistent) Addr() net.Addr { return l.config.Listener.Addr() }
