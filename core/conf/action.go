package conf

import "time"

// Action is what an Attempt asks the code that drives it to do next. It is a Read,
// Write, Pause or Finish.
type Action interface{ isAction() }

// Read asks the driver to read the stored configuration and its revision, and to
// report the result by OnRead, OnReadFailed or OnFaulty.
type Read struct{}

// Write asks the driver for one compare-and-swap of the stored configuration, and to
// report the result by OnWritten, OnConflict, OnUnknown or OnUnavailable.
type Write struct {
	revision uint64
	config   *Config
}

// Revision returns the store revision that the configuration must still have for the
// swap to succeed.
func (w Write) Revision() uint64 { return w.revision }

// Config returns the new configuration to store.
func (w Write) Config() *Config { return w.config }

// Pause asks the driver to wait and then to call Resume.
type Pause struct {
	until time.Time
}

// Until returns the time at which to call Resume.
func (p Pause) Until() time.Time { return p.until }

// Finish says that the attempt has ended. The driver must not call it again.
type Finish struct {
	result Result
}

// Result returns what to report to the operator.
func (f Finish) Result() Result { return f.result }

func (Read) isAction()   {}
func (Write) isAction()  {}
func (Pause) isAction()  {}
func (Finish) isAction() {}
