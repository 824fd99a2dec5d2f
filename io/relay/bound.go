package relay

import (
	"fmt"
	"time"

	"pomelofork/core/stmt"
)

const (
	// maxSpan is the longest duration in a message that counts. The sum of a longer one and a time could
	// exceed the range of times.
	maxSpan = 24 * time.Hour
	// maxFollowWait is the longest time for which a peer waits for a change.
	maxFollowWait = time.Minute
	// maxCount is the largest number of tokens, and the largest magnitude of a priority, in a message.
	maxCount = 1_000_000
)

// bounded is a message whose decoded values may be out of the range that this build can use: a later build
// may know more kinds, and none is to be trusted with a negative age or number.
type bounded interface {
	// bound brings the values into their ranges. It fails if a request must not be run.
	bound() error
}

// span brings durations into the range from least to maxSpan.
func span(least time.Duration, durations ...*time.Duration) {
	for _, d := range durations {
		*d = min(max(*d, least), maxSpan)
	}
}

// number brings numbers into the range from zero to maxCount.
func number(numbers ...*int) {
	for _, n := range numbers {
		*n = min(max(*n, 0), maxCount)
	}
}

func (m *RunRequest) bound() error {
	o := &m.Order
	if o.Statement.Kind > stmt.KindDeallocate || o.Begin > stmt.OpStepDown {
		return fmt.Errorf("%w: kind %d, begin %d", errRange, uint8(o.Statement.Kind), uint8(o.Begin))
	}
	o.Priority = min(max(o.Priority, -maxCount), maxCount)
	span(-maxSpan, &o.Target, &o.Timeout)
	return nil
}

// bound takes an answer that this build doesn't know for none: the statement may have run.
func (m *RunResponse) bound() error {
	r := &m.Result
	if r.Answer.Code > stmt.CodeConnectionLost || r.Answer.State > stmt.StateFailed {
		r.Answer, r.NotSent = stmt.Refuse(stmt.CodeConnectionLost, stmt.StateIdle, "answer of an unknown kind"), false
	}
	span(0, &r.RetryAfter, &r.Wait, &r.LatestAge)
	for i := range r.Waits {
		span(0, &r.Waits[i].Wait)
	}
	return nil
}

func (m *DrawRequest) bound() error {
	number(&m.Mint, &m.Need, &m.Ahead)
	span(0, &m.MaxWait)
	return nil
}

func (m *DrawResponse) bound() error {
	number(&m.Tokens)
	span(0, &m.Delay, &m.RetryAfter)
	return nil
}

func (m *LookRequest) bound() error {
	span(0, &m.Wait)
	return nil
}

func (m *LookResponse) bound() error {
	span(0, &m.Age)
	// Less than zero means never.
	span(-1, &m.ConfigAge)
	return nil
}

func (m *FollowRequest) bound() error {
	m.Wait = min(max(m.Wait, 0), maxFollowWait)
	return nil
}

func (m *FollowResponse) bound() error {
	span(0, &m.Age)
	return nil
}

func (m *ConfirmResponse) bound() error {
	span(0, &m.Age)
	return nil
}
