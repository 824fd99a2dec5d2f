package burn

// ID names one objective. The names are part of the report's JSON form.
type ID string

// The objectives of a fleet.
const (
	// Availability counts units of work: a bad one got no answer although the
	// caller did nothing wrong.
	Availability ID = "availability"
	// FailoverGap counts milliseconds of the services: a bad one passed while
	// writes waited and none was acknowledged.
	FailoverGap ID = "failover_gap"
	// WorstAccount is Availability of the client account that fares worst.
	WorstAccount ID = "worst_account"
	// WrongfulRefusals counts units of work: a bad one was turned away by rate
	// although rate and burst allowed it.
	WrongfulRefusals ID = "wrongful_refusals"
)

// Objective is one service-level objective.
type Objective struct {
	// ID names the objective.
	ID ID
	// Target is the share of good events that is aimed at, below 1.
	Target float64
}

// Budget returns the share of events that may be bad.
func (o Objective) Budget() float64 { return 1 - o.Target }

// Objectives returns the objectives of a fleet.
func Objectives() []Objective {
	return []Objective{
		{Availability, 0.999},
		// Two changes of primary a day, each within 12 s, leave this share of a day.
		{FailoverGap, 1 - 2*12.0/86400},
		{WorstAccount, 0.995},
		// One refusal in ten thousand.
		{WrongfulRefusals, 0.9999},
	}
}
