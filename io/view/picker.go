package view

import (
	"errors"
	"time"
)

const (
	// failedSourcePause is the time for which a source isn't queried after a failure while
	// there are others.
	failedSourcePause = 2 * time.Second
	// stoppedSourcePause is the same for a source whose process has ended. When a whole fleet
	// starts, the sources are back within that time.
	stoppedSourcePause = 300 * time.Millisecond
	// maxAnswerAge is the age above which an answer counts as a failure of its source. It is
	// longer than one watch of the store takes.
	maxAnswerAge = 1700 * time.Millisecond
)

// picker chooses among sources and records which of them failed.
type picker struct {
	// pausedUntil is when a source that failed may be queried again, by its name.
	pausedUntil map[string]time.Time
	// last is the name of the source that was queried last. lastFailed says that this query
	// failed or that its answer was too old.
	last       string
	lastFailed bool
}

func newPicker() *picker { return &picker{pausedUntil: map[string]time.Time{}} }

// pick returns the first source that isn't paused, or else the one whose pause ends first. There
// must be at least one source.
func (p *picker) pick(now time.Time, sources []Source) Source {
	best := sources[0]
	for _, s := range sources {
		if !now.Before(p.pausedUntil[s.Name()]) {
			return s
		}
		if p.pausedUntil[s.Name()].Before(p.pausedUntil[best.Name()]) {
			best = s
		}
	}
	return best
}

// recordFailure records that a source failed. It returns whether the source or the outcome
// differs from the last one.
func (p *picker) recordFailure(now time.Time, s Source, err error) bool {
	changed := !p.lastFailed || p.last != s.Name()
	pause := failedSourcePause
	if errors.Is(err, ErrSourceStopped) {
		pause = stoppedSourcePause
	}
	p.pausedUntil[s.Name()] = now.Add(pause)
	p.last, p.lastFailed = s.Name(), true
	return changed
}

// recordAnswer records an answer of a source, and as a failure if the answer is too old. It
// returns whether the source or the outcome differs from the last one.
func (p *picker) recordAnswer(now time.Time, s Source, age time.Duration) bool {
	if age > maxAnswerAge {
		return p.recordFailure(now, s, nil)
	}
	changed := p.lastFailed || p.last != s.Name()
	delete(p.pausedUntil, s.Name())
	p.last, p.lastFailed = s.Name(), false
	return changed
}
