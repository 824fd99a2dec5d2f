package limit

import "time"

// observedLevel is the last observed level of one share's bucket. A zero time means that it
// was never observed.
type observedLevel struct {
	amount MicroTokens
	at     time.Time
}

// observedLevels are the last observed levels of all shares of an account. They are hints
// for which share to ask first. No grant depends on them.
type observedLevels [Shares]observedLevel

// update takes over the levels that another instance observed more recently.
func (o *observedLevels) update(now time.Time, levels Levels) {
	for i, l := range levels {
		if at := now.Add(-l.Age); l.Known && at.After(o[i].at) {
			o[i] = observedLevel{amount: l.Amount, at: at}
		}
	}
}

// message returns the levels in the form in which they are sent.
func (o *observedLevels) message(now time.Time) Levels {
	var levels Levels
	for i, l := range o {
		if !l.at.IsZero() {
			levels[i] = Level{Amount: l.amount, Age: now.Sub(l.at), Known: true}
		}
	}
	return levels
}
