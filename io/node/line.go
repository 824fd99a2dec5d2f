package node

import (
	"sync"

	"pomelofork/core/conf"
)

// line holds the configuration in force. A document that isn't newer is passed over,
// so whoever brings one, the configuration never goes back.
type line struct {
	mu       sync.Mutex
	config   *conf.Config
	document []byte
}

func (l *line) current() *conf.Config {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.config
}

func (l *line) version() uint64 {
	if config := l.current(); config != nil {
		return config.Version()
	}
	return 0
}

// text returns the document of a version, if that is the one in force.
func (l *line) text(version uint64) ([]byte, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.config == nil || l.config.Version() != version {
		return nil, false
	}
	return l.document, true
}

// offer puts a document in force if it is newer than the one that is, and reports
// whether it did.
func (l *line) offer(document []byte) (bool, error) {
	config, err := conf.Parse(document)
	if err != nil {
		return false, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.config != nil && config.Version() <= l.config.Version() {
		return false, nil
	}
	l.config, l.document = config, document
	return true, nil
}

// decodeConfig returns the version of the text that the store holds.
func decodeConfig(text string) (uint64, []byte, error) {
	config, err := conf.Parse([]byte(text))
	if err != nil {
		return 0, nil, err
	}
	return config.Version(), []byte(text), nil
}
