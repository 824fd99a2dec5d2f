package conf

import (
	"errors"
	"time"
)

// retryPause is the time between a failed call of the store and the next one.
const retryPause = 100 * time.Millisecond

// errIDReused means that the identifier of a change belongs to a different change that
// was made earlier.
var errIDReused = errors.New("id: the identifier was already used for a different change")

// Attempt is the state machine that writes one change to the store. It does no I/O:
// each method returns the Action that its driver performs next, and the driver
// reports the result by the next method call, until the Action is Finish.
//
// Compare-and-swap lets exactly one of several concurrent operators succeed. If the
// answer of the store to a write is lost, the recorded changes of the stored document
// show what happened: if the write took effect, it made the version after the
// expected one, and the identifier of the change is recorded there.
type Attempt struct {
	change      Change
	fingerprint string
	operator    string
	deadline    time.Time

	// inDoubt is set once a write of this attempt may have taken effect, or still may.
	inDoubt bool
	// latest is the configuration that was read or written last, or nil if there was none.
	latest *Config
}

// AttemptConfig holds the settings of an attempt.
type AttemptConfig struct {
	// Change is the change that the operator requested.
	Change Change
	// Operator is the name that is recorded with the change.
	Operator string
	// Deadline is the time after which the attempt starts no further call of the store.
	Deadline time.Time
}

// NewAttempt returns an attempt that has not started. The error is a *FaultsError if
// the change is malformed.
func NewAttempt(c AttemptConfig) (*Attempt, error) {
	if _, _, err := c.Change.edit(); err != nil {
		return nil, err
	}
	fingerprint, err := c.Change.fingerprint()
	if err != nil {
		return nil, err
	}
	return &Attempt{change: c.Change, fingerprint: fingerprint, operator: c.Operator, deadline: c.Deadline}, nil
}

// Start returns the first action of the attempt.
func (a *Attempt) Start(now time.Time) Action { return a.Resume(now) }

// Resume continues the attempt after a Pause.
func (a *Attempt) Resume(now time.Time) Action {
	if !now.Before(a.deadline) {
		return a.giveUp()
	}
	return Read{}
}

// OnRead continues after a successful Read. A nil stored means that the store holds
// no configuration.
func (a *Attempt) OnRead(now time.Time, stored *Config, revision uint64) Action {
	version := uint64(0)
	if stored != nil {
		a.latest, version = stored, stored.Version()
		if entry, ok := stored.FindChange(a.change.ID); ok {
			return a.finishRecorded(entry)
		}
	}
	if version != a.change.ExpectedVersion {
		return a.finishOtherVersion(stored, version)
	}
	if !now.Before(a.deadline) {
		return a.giveUp()
	}
	next, err := stored.Apply(a.change, a.operator, now)
	if err != nil {
		return a.finish(Result{answer: AnswerRefused, version: version, fault: err})
	}
	return Write{revision: revision, config: next}
}

// finishRecorded ends the attempt when the stored document records a change with
// the same identifier: either this change, already made, or a different one.
func (a *Attempt) finishRecorded(entry ChangeEntry) Action {
	if entry.Fingerprint != a.fingerprint {
		return a.finish(Result{answer: AnswerRefused, version: a.latest.Version(), fault: errIDReused})
	}
	return a.finish(Result{answer: AnswerAccepted, version: entry.Version})
}

// finishOtherVersion ends the attempt when the stored version is not the expected one
// and the change is not recorded. A write of this attempt that has not yet reached the
// store can no longer succeed, because the store's revision has changed. The result is
// unknown only if the recorded changes no longer go back to the expected version.
func (a *Attempt) finishOtherVersion(stored *Config, version uint64) Action {
	answer := AnswerConflicting
	if version > a.change.ExpectedVersion && !stored.recordsReach(a.change.ExpectedVersion+1) {
		answer = AnswerNotKnown
	}
	return a.finish(Result{answer: answer, version: version})
}

// OnReadFailed continues after a Read that the store did not answer.
func (a *Attempt) OnReadFailed(now time.Time) Action { return a.pause(now) }

// OnFaulty ends the attempt because the stored configuration can't be parsed. The
// attempt doesn't overwrite it.
func (a *Attempt) OnFaulty(fault error) Action {
	return a.finish(Result{answer: AnswerRefused, fault: fault})
}

// OnWritten ends the attempt after a Write that the store confirmed.
func (a *Attempt) OnWritten(written *Config) Action {
	a.latest = written
	return a.finish(Result{answer: AnswerAccepted, version: written.Version()})
}

// OnConflict continues after a Write that the store rejected because the revision had
// changed. The attempt reads the configuration again to find out whether another
// operator's change or an earlier write of its own changed it.
func (a *Attempt) OnConflict(now time.Time) Action { return a.Resume(now) }

// OnUnknown continues after a Write that may or may not have taken effect because the
// store's answer was lost.
func (a *Attempt) OnUnknown(now time.Time) Action {
	a.inDoubt = true
	return a.pause(now)
}

// OnUnavailable continues after a Write that certainly did not take effect.
func (a *Attempt) OnUnavailable(now time.Time) Action { return a.pause(now) }

// pause waits for retryPause, or gives up if the deadline comes first.
func (a *Attempt) pause(now time.Time) Action {
	until := now.Add(retryPause)
	if !until.Before(a.deadline) {
		return a.giveUp()
	}
	return Pause{until: until}
}

// giveUp ends the attempt at its deadline, without a confirmation by the store.
func (a *Attempt) giveUp() Action {
	if a.inDoubt {
		return a.finish(Result{answer: AnswerNotKnown, version: a.change.ExpectedVersion})
	}
	return a.finish(Result{answer: AnswerUnavailable})
}

// finish ends the attempt and adds the newest configuration to the result.
func (a *Attempt) finish(r Result) Action {
	r.config = a.latest
	return Finish{result: r}
}
